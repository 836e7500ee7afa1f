package trial_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/api"
	store "github.com/eelgrasshub/eelgrasshub/store/standin"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
	"github.com/eelgrasshub/eelgrasshub/trial"
)

func TestQuickRequestsDuringStoreOutage(t *testing.T) {
	// The store refuses every call, or leaves it unanswered. Quick requests never
	// need it and go on. A booking with a key can't be proved to be the first
	// under it: the caller is told that this is why, before any deadline has passed,
	// and when to come back, and the booking doesn't run. Without a key it runs.
	for _, down := range []string{store.DownRefuse, store.DownHang} {
		t.Run(down, func(t *testing.T) {
			w := startTestCluster(t, nil)
			w.Store.SetFaults(store.Faults{Down: down})
			for i := range 20 {
				tag := fmt.Sprintf("check-%d", i)
				w.checkDone(w.request(i%2, "check", tag, "", time.Millisecond), tag)
			}
			w.checkDone(w.request(0, "booking", "plain", "", time.Millisecond), "plain")

			keyed := w.request(0, "booking", "keyed", "k", time.Millisecond)
			w.Check(keyed.Outcome, qt.Not(qt.Equals), api.OutcomeDone)
			w.Assert(keyed.Problem, qt.IsNotNil)
			w.Check(keyed.Problem.Reason, qt.Equals, api.ReasonEarlierAttemptInDoubt)
			w.Check(keyed.Problem.RetryAfter > 0, qt.IsTrue)
			runs, _ := w.quickRuns("keyed")
			w.Check(runs, qt.HasLen, 0)

			w.Store.SetFaults(store.Faults{})
			w.eventually(func() error {
				retry := w.request(1, "booking", "keyed", "k", time.Millisecond)
				return errorUnless(retry.Outcome == api.OutcomeDone, fmt.Sprint(retry.Problem))
			})
			runs, _ = w.quickRuns("keyed")
			w.Check(runs, qt.HasLen, 1)
		})
	}
}

// backgroundTraffic is callers that send checks one after the other through all entries. A
// caller that is told when to come back does so: one that doesn't would be refused
// many times in the moment of a failure.
type backgroundTraffic struct {
	cluster *testCluster
	name    string
	work    time.Duration
	stopped chan struct{}
	wg      sync.WaitGroup

	mu      sync.Mutex
	answers map[string]callResult
}

func (w *testCluster) startTraffic(name string, work time.Duration) *backgroundTraffic {
	s := &backgroundTraffic{cluster: w, name: name, work: work, stopped: make(chan struct{}), answers: make(map[string]callResult)}
	for c := range 4 {
		s.wg.Go(func() { s.runCaller(c) })
	}
	return s
}

func (s *backgroundTraffic) runCaller(c int) {
	for i := 0; ; i++ {
		select {
		case <-s.stopped:
			return
		default:
		}
		tag := fmt.Sprintf("%s-%d-%d", s.name, c, i)
		a := s.cluster.request((c+i)%2, "check", tag, "", s.work)
		s.mu.Lock()
		s.answers[tag] = a
		s.mu.Unlock()
		if a.Problem != nil {
			time.Sleep(a.Problem.RetryAfter) // as the caller is asked to
		}
	}
}

// awaitAnswers waits until there are so many answers.
func (s *backgroundTraffic) awaitAnswers(n int) {
	s.cluster.Helper()
	s.cluster.eventually(func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		return errorUnless(len(s.answers) >= n, fmt.Sprintf("%d answers of %d", len(s.answers), n))
	})
}

// stop ends the callers and returns the answers.
func (s *backgroundTraffic) stop() map[string]callResult {
	close(s.stopped)
	s.wg.Wait()
	return s.answers
}

func (w *testCluster) checkAllDone(answers map[string]callResult) {
	w.Helper()
	w.Check(len(answers) > 0, qt.IsTrue)
	for tag, a := range answers {
		w.checkDone(a, tag)
	}
}

func TestDrainingTargetGetsNoNewWork(t *testing.T) {
	// A target is taken out as planned, under load and with the store out. What
	// runs there ends, every caller gets its answer, and what is sent from then on
	// runs elsewhere, while the target still works on what it had.
	w := startTestCluster(t, nil)
	w.Store.SetFaults(store.Faults{Down: store.DownRefuse})
	traffic := w.startTraffic("check", 5*time.Millisecond)
	slow := w.requestAsync(0, "check", "slow", "", time.Second)
	draining := w.awaitWorkerOf("slow")
	w.Assert(draining.DrainAgent(), qt.IsNil)
	for i := range 40 {
		tag := fmt.Sprintf("after-%d", i)
		w.checkDone(w.request(i%2, "check", tag, "", time.Millisecond), tag)
	}
	w.Assert(draining.StopAgent(w.ctx), qt.IsNil)
	w.checkDone(<-slow, "slow")
	w.checkDone(w.request(0, "check", "gone", "", time.Second), "gone")
	w.checkAllDone(traffic.stop())
	for _, r := range draining.Target.Audit().Quick {
		sentAfterDrain := strings.HasPrefix(r.Tag, "after") || r.Tag == "gone"
		w.Check(sentAfterDrain, qt.IsFalse, qt.Commentf("%s ran at the leaving target", r.Tag))
		w.Check(r.Completed && !r.Abandoned, qt.IsTrue)
	}
}

func TestBlackholedConnections(t *testing.T) {
	// Something between agents and entries loses track of all open connections:
	// they are silent for good, and neither end is told. New ones work. Requests go
	// on, those that were under way too, because they may run twice.
	w := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	traffic := w.startTraffic("check", 5*time.Millisecond)
	for _, n := range w.Entries {
		w.awaitWorkerOf("check-0-0")
		w.Check(n.DropAllFlows() > 0, qt.IsTrue)
		w.checkDone(w.request(0, "check", "one-"+n.ID, "", 2*time.Second), "one-"+n.ID)
		w.checkDone(w.request(1, "check", "two-"+n.ID, "", 2*time.Second), "two-"+n.ID)
	}
	traffic.awaitAnswers(500) // however fast the machine, a share of these
	answers := traffic.stop()
	lost := 0
	for tag, a := range answers {
		if a.Outcome != api.OutcomeDone {
			lost++
			w.Logf("%s: %v", tag, a.Problem)
			continue
		}
		w.checkDone(a, tag)
	}
	w.Check(len(answers)/10 > lost, qt.IsTrue, qt.Commentf("%d of %d", lost, len(answers)))
}

func TestRequestsAvoidDeadAgent(t *testing.T) {
	// An agent dies. Its connections are gone, and a new one to it is not answered.
	// Requests go to other targets. That none of them waits for the new connection
	// is TestDeadAgentIsNotWaitedFor's of package entry.
	w := startTestCluster(t, nil)
	w.Workers[0].KillAgent()
	for i := range 20 {
		tag := fmt.Sprintf("check-%d", i)
		w.checkDone(w.request(i%2, "check", tag, "", 0), tag)
	}
}

func TestCallersGetTheirOwnAnswers(t *testing.T) {
	// Callers ask at the same time for answers of different sizes, from targets of
	// which one is slow and answers out of order, while connections go silent.
	// Each gets the whole answer to its own request, or none.
	w := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	w.Workers[1].Target.SetFaults(standin.Faults{SlowFactor: 10})
	traffic := w.startTraffic("own", 3*time.Millisecond)
	w.checkDone(w.request(0, "check", "wait", "", 500*time.Millisecond), "wait")
	w.Entries[0].DropAllFlows()
	w.checkDone(w.request(1, "check", "wait-2", "", time.Second), "wait-2")
	for tag, a := range traffic.stop() {
		if a.Outcome == api.OutcomeDone {
			w.checkDone(a, tag)
		}
	}
}

func TestNewEntryIsReadyOnlyWithTargets(t *testing.T) {
	// An entry's instance is replaced. The balancer sends requests as soon as the
	// entry says that it is ready; none of them is refused for want of a target.
	w := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	w.Entries[0].Kill()
	w.Assert(w.Entries[0].Start(), qt.IsNil)
	w.eventually(func() error { return w.Entries[0].Client().Ready(w.ctx) })
	for i := range 10 {
		tag := fmt.Sprintf("check-%d", i)
		w.checkDone(w.request(0, "check", tag, "", 0), tag)
	}
}
