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
	// ReasonEarlierAttemptInDoubt and a retry delay, and must not run, until the store is back.
	for _, down := range []string{store.DownRefuse, store.DownHang} {
		t.Run(down, func(t *testing.T) {
			tc := startTestCluster(t, nil)
			tc.Store.SetFaults(store.Faults{Down: down})
			for i := range 20 {
				tag := fmt.Sprintf("check-%d", i)
				tc.checkDone(tc.request(i%2, "check", tag, "", time.Millisecond), tag)
			}
			tc.checkDone(tc.request(0, "booking", "plain", "", time.Millisecond), "plain")

			keyed := tc.request(0, "booking", "keyed", "k", time.Millisecond)
			tc.Check(keyed.Outcome, qt.Not(qt.Equals), api.OutcomeDone)
			tc.Assert(keyed.Problem, qt.IsNotNil)
			tc.Check(keyed.Problem.Reason, qt.Equals, api.ReasonEarlierAttemptInDoubt)
			tc.Check(keyed.Problem.RetryAfter > 0, qt.IsTrue)
			runs, _ := tc.quickRuns("keyed")
			tc.Check(runs, qt.HasLen, 0)

			tc.Store.SetFaults(store.Faults{})
			tc.eventually(func() error {
				retry := tc.request(1, "booking", "keyed", "k", time.Millisecond)
				return errorUnless(retry.Outcome == api.OutcomeDone, fmt.Sprint(retry.Problem))
			})
			runs, _ = tc.quickRuns("keyed")
			tc.Check(runs, qt.HasLen, 1)
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

func (tc *testCluster) startTraffic(name string, work time.Duration) *backgroundTraffic {
	b := &backgroundTraffic{cluster: tc, name: name, work: work, stopped: make(chan struct{}), answers: make(map[string]callResult)}
	for c := range 4 {
		b.wg.Go(func() { b.runCaller(c) })
	}
	return b
}

func (b *backgroundTraffic) runCaller(caller int) {
	for i := 0; ; i++ {
		select {
		case <-b.stopped:
			return
		default:
		}
		tag := fmt.Sprintf("%s-%d-%d", b.name, caller, i)
		a := b.cluster.request((caller+i)%2, "check", tag, "", b.work)
		b.mu.Lock()
		b.answers[tag] = a
		b.mu.Unlock()
		if a.Problem != nil {
			time.Sleep(a.Problem.RetryAfter) // honours the entry's retry delay
		}
	}
}

// awaitAnswers waits until there are at least n answers.
func (b *backgroundTraffic) awaitAnswers(n int) {
	b.cluster.Helper()
	b.cluster.eventually(func() error {
		b.mu.Lock()
		defer b.mu.Unlock()
		return errorUnless(len(b.answers) >= n, fmt.Sprintf("%d answers of %d", len(b.answers), n))
	})
}

// stop stops the callers and returns all answers.
func (b *backgroundTraffic) stop() map[string]callResult {
	close(b.stopped)
	b.wg.Wait()
	return b.answers
}

func (tc *testCluster) checkAllDone(answers map[string]callResult) {
	tc.Helper()
	tc.Check(len(answers) > 0, qt.IsTrue)
	for tag, a := range answers {
		tc.checkDone(a, tag)
	}
}

func TestDrainingTargetGetsNoNewWork(t *testing.T) {
	// A target is drained under load during a store outage. Its running work must complete, and
	// requests sent later must run on other targets.
	tc := startTestCluster(t, nil)
	tc.Store.SetFaults(store.Faults{Down: store.DownRefuse})
	traffic := tc.startTraffic("check", 5*time.Millisecond)
	slow := tc.requestAsync(0, "check", "slow", "", time.Second)
	draining := tc.awaitWorkerOf("slow")
	tc.Assert(draining.DrainAgent(), qt.IsNil)
	for i := range 40 {
		tag := fmt.Sprintf("after-%d", i)
		tc.checkDone(tc.request(i%2, "check", tag, "", time.Millisecond), tag)
	}
	tc.Assert(draining.StopAgent(tc.ctx), qt.IsNil)
	tc.checkDone(<-slow, "slow")
	tc.checkDone(tc.request(0, "check", "gone", "", time.Second), "gone")
	tc.checkAllDone(traffic.stop())
	for _, r := range draining.Target.Audit().Quick {
		sentAfterDrain := strings.HasPrefix(r.Tag, "after") || r.Tag == "gone"
		tc.Check(sentAfterDrain, qt.IsFalse, qt.Commentf("%s ran on the draining target", r.Tag))
		tc.Check(r.Completed && !r.Abandoned, qt.IsTrue)
	}
}

func TestBlackholedConnections(t *testing.T) {
	// All open connections are blackholed without notice to either end, while new ones work.
	// Nearly all repeatable requests, including those in progress, must still be answered.
	tc := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	traffic := tc.startTraffic("check", 5*time.Millisecond)
	for _, n := range tc.Entries {
		tc.awaitWorkerOf("check-0-0")
		tc.Check(n.DropAllFlows() > 0, qt.IsTrue)
		tc.checkDone(tc.request(0, "check", "one-"+n.ID, "", 2*time.Second), "one-"+n.ID)
		tc.checkDone(tc.request(1, "check", "two-"+n.ID, "", 2*time.Second), "two-"+n.ID)
	}
	traffic.awaitAnswers(500) // enough answers for the share below
	answers := traffic.stop()
	lost := 0
	for tag, a := range answers {
		if a.Outcome != api.OutcomeDone {
			lost++
			tc.Logf("%s: %v", tag, a.Problem)
			continue
		}
		tc.checkDone(a, tag)
	}
	tc.Check(len(answers)/10 > lost, qt.IsTrue, qt.Commentf("%d of %d requests not answered as done", lost, len(answers)))
}

func TestRequestsAvoidDeadAgent(t *testing.T) {
	// Requests must go to other targets after an agent died. That none of them waits for a new
	// connection to it is checked by TestCallToDeadAgentFailsEarly of package entry.
	tc := startTestCluster(t, nil)
	tc.Workers[0].KillAgent()
	for i := range 20 {
		tag := fmt.Sprintf("check-%d", i)
		tc.checkDone(tc.request(i%2, "check", tag, "", 0), tag)
	}
}

func TestCallersGetTheirOwnAnswers(t *testing.T) {
	// With a slow target, concurrent callers and blackholed connections, each caller must get the
	// complete answer to its own request or none.
	tc := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	tc.Workers[1].Target.SetFaults(standin.Faults{SlowFactor: 10})
	traffic := tc.startTraffic("own", 3*time.Millisecond)
	tc.checkDone(tc.request(0, "check", "wait", "", 500*time.Millisecond), "wait")
	tc.Entries[0].DropAllFlows()
	tc.checkDone(tc.request(1, "check", "wait-2", "", time.Second), "wait-2")
	for tag, a := range traffic.stop() {
		if a.Outcome == api.OutcomeDone {
			tc.checkDone(a, tag)
		}
	}
}

func TestNewEntryIsReadyOnlyWithTargets(t *testing.T) {
	// A new entry must not report that it is ready before it has targets for its requests.
	tc := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	tc.Entries[0].Kill()
	tc.Assert(tc.Entries[0].Start(), qt.IsNil)
	tc.eventually(func() error { return tc.Entries[0].Client().Ready(tc.ctx) })
	for i := range 10 {
		tag := fmt.Sprintf("check-%d", i)
		tc.checkDone(tc.request(0, "check", tag, "", 0), tag)
	}
}
