package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/document/schema"
	"github.com/eelgrasshub/eelgrasshub/settings"
	"github.com/eelgrasshub/eelgrasshub/target"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

const testClusterKey = "a key for tests only"

// startFakeEntry starts an entry that passes all reports to the channel, and returns its
// address.
func startFakeEntry(c *qt.C, reports chan<- wire.AgentReport) string {
	id, err := wire.NewIdentity(wire.Peer{ID: "entry", Role: wire.RoleEntry}, []byte(testClusterKey))
	c.Assert(err, qt.IsNil)
	endpoint, err := wire.Listen("127.0.0.1:0", id, wire.HandlerFunc(func(_ context.Context, _ *wire.Conn, msg any) (any, error) {
		for _, r := range msg.(*wire.Report).Reports {
			reports <- r
		}
		return &wire.ReportAck{}, nil
	}))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(endpoint.Close(), qt.IsNil) })
	return endpoint.Addr()
}

// slowTarget starts a target with one running task of a gang, and returns its URL. It
// delays the list of tasks until the agent has sent a report, or for long enough that a
// premature report would have been sent.
func slowTarget(c *qt.C, reports chan wire.AgentReport) string {
	running := []target.TaskStatus{{
		TaskID:       target.TaskID{Job: "j", Attempt: 1<<attemptNumberBits | 1},
		State:        target.TaskRunning,
		Members:      2,
		Accelerators: []int{0},
		LeaseLeftMS:  time.Minute.Milliseconds(),
	}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != target.PathTasks {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case early := <-reports:
			reports <- early
		case <-time.After(300 * time.Millisecond):
		}
		_ = json.NewEncoder(w).Encode(running)
	}))
	c.Cleanup(server.Close)
	return server.URL
}

// A restarted agent must not report before it knows its target's tasks: a first report
// without the running task would make the planner give up a gang that runs on.
func TestFirstReportListsTargetTasks(t *testing.T) {
	c := qt.New(t)
	reports := make(chan wire.AgentReport, 1000)
	log := logrus.New()
	log.SetOutput(io.Discard)
	a, err := Start(settings.Agent{
		ID:           "agent",
		Service:      "s",
		Listen:       "127.0.0.1:0",
		Seeds:        []string{startFakeEntry(c, reports)},
		ClusterKey:   testClusterKey,
		Target:       slowTarget(c, reports),
		Accelerators: 8,
		Slots:        8,
		Connections:  8,
		ReportPeriod: schema.Duration{Duration: time.Second},
	}, logrus.NewEntry(log))
	c.Assert(err, qt.IsNil)
	defer a.Close()
	select {
	case first := <-reports:
		c.Assert(first.Tasks, qt.HasLen, 1)
	case <-time.After(20 * time.Second):
		c.Fatal("the agent sent no report")
	}
}
