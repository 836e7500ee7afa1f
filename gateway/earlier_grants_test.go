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

// Guards against runs of a dead worker that wait six seconds longer than another gateway knows to be necessary,
// because the gateway that takes over has been restarted.
func TestPeersRuleOutExtension(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 5)
	f.run(2 * memberTTL)
	restarted := f.nodes[4]
	restarted.peering = newPeering(restarted.self, f.seeds, restarted.clock, restarted.planningEpoch)
	f.run(2 * second)
	f.nodes[2].up = false // the planner
	f.run(600 * ms)
	f.takeOver(restarted)
	takeover := f.now
	extension := func() time.Duration {
		return restarted.earlierGrants.endBefore(f.now, f.epoch, restarted.storeStatus) - takeover
	}
	c.Check(extension(), qt.Equals, plannerLeaseTTL+maxGrantExtension)
	f.run(second)
	c.Check(extension() <= plannerLeaseTTL+50*ms, qt.IsTrue, qt.Commentf("it assumes %v", extension()))
	c.Check(extension() >= plannerLeaseTTL, qt.IsTrue, qt.Commentf("it assumes %v", extension()))
}

// Guards against a bound that is believed of other planners than those it was told of, or to be earlier than
// it was, because its message was late.
func TestBoundOfOtherGatewayIsMergedWithItsEpochAndDelay(t *testing.T) {
	c := qt.New(t)
	p, now := newServedPeering("self")
	p.learnPlanner(6, "self")
	full := *now + maxEarlierGrants
	hear := func(epoch uint64, remaining time.Duration) time.Duration {
		p.mergeQuery(&link.PeerQuery{Address: "b", Epoch: epoch, Planner: "self", EarlierGrants: &link.EarlierGrants{Epoch: epoch, Remaining: remaining}})
		return p.earlierGrants.endBefore(*now, 6, p.storeStatus)
	}
	c.Check(hear(5, 2*second), qt.Equals, full)
	*now += 4 * second
	c.Check(hear(6, 2*second), qt.Equals, *now+2*second)
	c.Check(hear(6, 3*second), qt.Equals, *now+2*second)
	p.learnPlanner(7, "b")
	c.Check(p.earlierGrants.endBefore(*now, 7, p.storeStatus), qt.Equals, *now+maxEarlierGrants)
}
