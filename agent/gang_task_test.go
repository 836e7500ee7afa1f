package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
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

// runTask makes the member start a task, and returns its state once done returns true.
func (g *gangRunner) runTask(c *qt.C, done func(gang.Task) bool) gang.Task {
	spec, err := cbor.Marshal(target.TaskSpec{})
	c.Assert(err, qt.IsNil)
	h := gang.Header{ID: gang.ID{Job: "j", Epoch: 1, Number: 1}, Sender: 1, Incarnation: 1}
	reserve := gang.Reserve{Header: h, Accelerators: []int{0}, Members: 1, Hold: time.Minute, Spec: spec}
	for _, m := range []gang.Message{reserve, gang.Commit{Header: h}, gang.Start{Header: h}} {
		g.postEvent(gang.Received{From: "planner", Message: m})
	}
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
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				if req.Method == http.MethodPut {
					panic(http.ErrAbortHandler)
				}
				_ = json.NewEncoder(w).Encode(target.TaskStatus{State: tc.state})
			}))
			defer server.Close()
			task := startTestRunner(c, server.URL).runTask(c, hasEnded)
			c.Check(task.Result, qt.Equals, tc.result)
		})
	}
}

// A target that refuses a start has run nothing; the refusal still counts as a failure.
func TestRefusedStartIsFailure(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPut {
			http.Error(w, "refused", http.StatusServiceUnavailable)
			return
		}
		_ = json.NewEncoder(w).Encode(target.TaskStatus{State: target.TaskStopped})
	}))
	defer server.Close()
	task := startTestRunner(c, server.URL).runTask(c, hasEnded)
	c.Check(task.Result, qt.Equals, gang.TaskFailed)
}

// A task counts as confirmed only once its target has answered the start: callers must not be told
// that a job runs while a target may not have begun it.
func TestStartIsUnconfirmedUntilTargetAnswers(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPut {
			<-release
		}
		_ = json.NewEncoder(w).Encode(target.TaskStatus{State: target.TaskRunning})
	}))
	defer server.Close()
	g := startTestRunner(c, server.URL)
	task := g.runTask(c, func(t gang.Task) bool { return t.State == gang.StateRunning })
	c.Check(task.Unconfirmed, qt.IsTrue)
	close(release)
	for task.Unconfirmed {
		time.Sleep(time.Millisecond)
		g.call(context.Background(), func() { task = g.member.Tasks()[0] })
	}
}
