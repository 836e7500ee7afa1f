package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/link"
)

// newServedPeering returns the peering of a gateway that has been up and served by the store for a minute. It
// follows the returned clock.
func newServedPeering(self string) (p *peering, now *time.Duration) {
	now = new(time.Duration)
	p = newPeering(self, nil, func() time.Duration { return *now }, func() uint64 { return 0 })
	*now = time.Minute
	return p, now
}

// Guards against a task that runs twice because a new planner, in contact with its predecessor, assumes nothing
// of the planner before that, which may still extend its grants.
func TestNewPlannerAllowsForPlannerBeforeItsPredecessor(t *testing.T) {
	c := qt.New(t)
	p, now := newServedPeering("self")
	p.learnPlanner(4, "a") // it never answers
	*now += time.Minute
	p.learnPlanner(5, "b")
	replaced := *now
	for _, reign := range []time.Duration{second, 3 * second, 5 * second, 30 * second} {
		*now = replaced + reign
		p.mergeReply("b", &link.PeerReply{Epoch: 5, Planner: "b", PlanningEpoch: 5, StoreReachable: true}, *now-second/2)
		want := max(plannerLeaseTTL, plannerLeaseTTL+maxGrantExtension-reign)
		c.Check((&Gateway{peering: p}).predecessorExtension(*now, 6), qt.Equals, want, qt.Commentf("the predecessor took over %v ago", reign))
	}
}
