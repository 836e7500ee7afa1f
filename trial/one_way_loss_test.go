package trial_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/internal/relay"
	"github.com/eelgrasshub/eelgrasshub/trial"
)

func TestOneWayPacketLoss(t *testing.T) {
	// All open connections lose the packets of one direction without notice to either end.
	// Repeated requests must be answered, keyed ones must run once, and a gang must run on.
	for name, direction := range map[string]relay.Direction{"requests lost": relay.FromUpstream, "answers lost": relay.ToUpstream} {
		t.Run(name, func(t *testing.T) {
			tc := startTestCluster(t, func(o *trial.Options) {
				o.UDPRelays = true
				o.Document = defaultGangDocument
			})
			gang := tc.submit(0, "big", "gang", 16, 2*time.Second)
			tc.awaitJob(0, gang, api.JobRunning)
			for _, n := range tc.Entries {
				tc.Check(n.DropFlows(direction) > 0, qt.IsTrue)
			}
			answers := make(map[string]<-chan callResult)
			for i := range 8 {
				check, booking := fmt.Sprint("check-", i), fmt.Sprint("booking-", i)
				answers[check] = tc.requestAsync(i%2, "check", check, "", 20*time.Millisecond)
				answers[booking] = tc.requestAsync(i%2, "booking", booking, booking, 20*time.Millisecond)
			}
			for i := range 8 {
				check, booking := fmt.Sprint("check-", i), fmt.Sprint("booking-", i)
				tc.checkAnsweredAfterRetry(i, "check", check, <-answers[check])
				tc.checkAnsweredAfterRetry(i, "booking", booking, <-answers[booking])
				runs, _ := tc.quickRuns(booking)
				tc.Check(runs, qt.HasLen, 1)
			}
			tc.Check(tc.awaitJob(1, gang, api.JobDone).Attempt, qt.Equals, 1)
			tc.checkRanOnce("gang")
			tc.checkNoViolations()
		})
	}
}

// checkAnsweredAfterRetry repeats a request, with its tag as the key, until it gets the
// complete answer. The first answer must not be "not run" if the request ran.
func (tc *testCluster) checkAnsweredAfterRetry(entry int, class, tag string, a callResult) {
	tc.Helper()
	tc.Assert(a.err, qt.IsNil)
	if a.Outcome == api.OutcomeNotRun {
		runs, _ := tc.quickRuns(tag)
		tc.Check(runs, qt.HasLen, 0)
	}
	tc.eventually(func() error {
		if a.Outcome == api.OutcomeDone {
			return nil
		}
		a = tc.request(entry%2, class, tag, tag, 20*time.Millisecond)
		return errorUnless(a.Outcome == api.OutcomeDone, tag+" is not answered")
	})
	tc.checkDone(a, tag)
}
