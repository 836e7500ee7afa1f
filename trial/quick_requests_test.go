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
	// Quick requests must not need the store. Only a keyed non-repeatable one must be refused with
	// ReasonKeyInDoubt and a retry delay, and must not run, until the store is back.
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

// backgroundTraffic is a group of callers that send repeatable requests in sequence through all
// entries. They honour the retry delay of an answer.
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
			time.Sleep(a.Problem.RetryAfter) // honours the entry's retry delay
		}
	}
}

// awaitAnswers waits until there are at least n answers.
func (s *backgroundTraffic) awaitAnswers(n int) {
	s.cluster.Helper()
	s.cluster.eventually(func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		return errorUnless(len(s.answers) >= n, fmt.Sprintf("%d answers of %d", len(s.answers), n))
	})
}

// stop stops the callers and returns all answers.
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
	// A target is drained under load during a store outage. Its running work must complete, and
	// requests sent later must run on other targets.
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
	// All open connections are blackholed without notice to either end, while new ones work.
	// Nearly all repeatable requests, including those in progress, must still be answered.
	w := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	traffic := w.startTraffic("check", 5*time.Millisecond)
	for _, n := range w.Entries {
		w.awaitWorkerOf("check-0-0")
		w.Check(n.DropAllFlows() > 0, qt.IsTrue)
		w.checkDone(w.request(0, "check", "one-"+n.ID, "", 2*time.Second), "one-"+n.ID)
		w.checkDone(w.request(1, "check", "two-"+n.ID, "", 2*time.Second), "two-"+n.ID)
	}
	traffic.awaitAnswers(500) // enough answers for the share below
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
	// Requests must go to other targets after an agent died. That none of them waits for a new
	// connection to it is checked by TestCallToDeadAgentFailsEarly of package entry.
	w := startTestCluster(t, nil)
	w.Workers[0].KillAgent()
	for i := range 20 {
		tag := fmt.Sprintf("check-%d", i)
		w.checkDone(w.request(i%2, "check", tag, "", 0), tag)
	}
}

func TestCallersGetTheirOwnAnswers(t *testing.T) {
	// With a slow target, concurrent callers and blackholed connections, each caller must get the
	// complete answer to its own request or none.
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
	// A new entry must not report that it is ready before it has targets for its requests.
	w := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	w.Entries[0].Kill()
	w.Assert(w.Entries[0].Start(), qt.IsNil)
	w.eventually(func() error { return w.Entries[0].Client().Ready(w.ctx) })
	for i := range 10 {
		tag := fmt.Sprintf("check-%d", i)
		w.checkDone(w.request(0, "check", tag, "", 0), tag)
	}
}
