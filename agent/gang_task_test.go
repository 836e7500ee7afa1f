package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/target"
)

// startTestRunner returns a runner whose member is ready, for the target at url. It ends with the
// test.
func startTestRunner(c *qt.C, url string) *gangRunner {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	g := &gangRunner{
		tomb: &tomb.Tomb{}, log: logrus.NewEntry(log), targetClient: target.NewClient(target.Options{BaseURL: url}),
		workQueue:      make(chan func(), workQueueSize),
		member:         gang.NewMember(gang.MemberConfig{Accelerators: 1, Incarnation: 1, IsolationTimeout: time.Hour, MaxTombstones: 4}),
		tasksRecovered: make(chan struct{}),
		pushReply:      func(string, gang.Reply) {},
		stateChanged:   func(*gang.Member) {},
	}
	g.timer = time.NewTimer(time.Hour)
	g.tomb.Go(g.loop)
	c.Cleanup(func() {
		g.tomb.Kill(nil)
		_ = g.tomb.Wait()
	})
	g.postEvent(gang.TasksRecovered{})
	return g
}

// startFakeTarget returns the URL of a target that answers a start as start does, and all other
// requests with a task in the given state. It ends with the test.
func startFakeTarget(c *qt.C, state target.TaskState, start http.HandlerFunc) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPut {
			start(w, req)
			return
		}
		writeTaskStatus(w, state)
	}))
	c.Cleanup(server.Close)
	return server.URL
}

func writeTaskStatus(w http.ResponseWriter, state target.TaskState) {
	_ = json.NewEncoder(w).Encode(target.TaskStatus{State: state})
}

// sendStart makes the member start a task.
func (g *gangRunner) sendStart(c *qt.C) {
	spec, err := cbor.Marshal(target.TaskSpec{})
	c.Assert(err, qt.IsNil)
	h := gang.Header{ID: gang.ID{Job: "j", Epoch: 1, Number: 1}, Sender: 1, Incarnation: 1}
	reserve := gang.Reserve{Header: h, Accelerators: []int{0}, Members: 1, Hold: time.Minute, Spec: spec}
	for _, m := range []gang.Message{reserve, gang.Commit{Header: h}, gang.Start{Header: h}} {
		g.postEvent(gang.Received{From: "planner", Message: m})
	}
}

// awaitTask returns the member's only task once done returns true for it.
func (g *gangRunner) awaitTask(c *qt.C, done func(gang.Task) bool) gang.Task {
	for range 1000 {
		var tasks []gang.Task
		g.call(context.Background(), func() { tasks = g.member.Tasks() })
		if len(tasks) == 1 && done(tasks[0]) {
			return tasks[0]
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatal("the task did not get there")
	return gang.Task{}
}

func hasEnded(t gang.Task) bool { return t.State == gang.StateEnded }

// The target's answer to a start is lost. A task that was done meanwhile must be reported as done,
// and one that was stopped must not count as a failure of the job.
func TestUnansweredStartKeepsTaskResult(t *testing.T) {
	for _, tc := range []struct {
		state  target.TaskState
		result gang.Result
	}{
		{target.TaskDone, gang.Succeeded},
		{target.TaskFailed, gang.TaskFailed},
		{target.TaskStopped, gang.StartUnanswered},
	} {
		t.Run(string(tc.state), func(t *testing.T) {
			c := qt.New(t)
			url := startFakeTarget(c, tc.state, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
			g := startTestRunner(c, url)
			g.sendStart(c)
			c.Check(g.awaitTask(c, hasEnded).Result, qt.Equals, tc.result)
		})
	}
}

// A target that refuses a start has run nothing; the refusal still counts as a failure.
func TestRefusedStartIsFailure(t *testing.T) {
	c := qt.New(t)
	url := startFakeTarget(c, target.TaskStopped, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "refused", http.StatusServiceUnavailable)
	})
	g := startTestRunner(c, url)
	g.sendStart(c)
	c.Check(g.awaitTask(c, hasEnded).Result, qt.Equals, gang.TaskFailed)
}

// A task counts as confirmed only once its target has answered the start: callers must not be told
// that a job runs while a target may not have begun it.
func TestStartIsUnconfirmedUntilTargetAnswers(t *testing.T) {
	c := qt.New(t)
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	url := startFakeTarget(c, target.TaskRunning, func(w http.ResponseWriter, _ *http.Request) {
		<-released
		writeTaskStatus(w, target.TaskRunning)
	})
	c.Cleanup(release) // the target's end waits for the answer
	g := startTestRunner(c, url)
	g.sendStart(c)
	task := g.awaitTask(c, func(t gang.Task) bool { return t.State == gang.StateRunning })
	c.Check(task.Unconfirmed, qt.IsTrue)
	release()
	g.awaitTask(c, func(t gang.Task) bool { return !t.Unconfirmed })
}
