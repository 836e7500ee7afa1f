package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func newClaimant(self string, capacity float64, successors ...string) *Gateway {
	g := &Gateway{cfg: Config{Listen: self, PlanningCapacity: capacity}}
	g.peering = newPeering(self, nil, func() time.Duration { return time.Minute }, func() uint64 { return 0 })
	g.failureDetector.setSuccessors(successors)
	return g
}

// When the planner lease becomes vacant in a fleet of mostly weak gateways, one of them must not
// take it before the successors that the planner named, nor before a strong one if none of those
// is left.
func TestWeakGatewaysClaimLast(t *testing.T) {
	c := qt.New(t)
	named := []string{"s0", "s1", "s2"}
	const strong, weak = 0.8, 0.04
	c.Check(newClaimant("s0", strong, named...).claimDelay(), qt.Equals, time.Duration(0))
	c.Check(newClaimant("s2", weak, named...).claimDelay(), qt.Equals, 2*successorStagger)
	for range 100 {
		other := newClaimant("g", strong, named...).claimDelay()
		last := newClaimant("w", weak, named...).claimDelay()
		c.Assert(other >= 3*successorStagger, qt.IsTrue, qt.Commentf("%v", other))
		c.Assert(last > other, qt.IsTrue, qt.Commentf("%v after %v", last, other))
	}
}

// After a loss of all gateways no successors are known, and strong gateways claim at once.
func TestStrongGatewaysClaimAtOnceAtStart(t *testing.T) {
	c := qt.New(t)
	c.Check(newClaimant("g", 0.8).claimDelay(), qt.Equals, time.Duration(0))
	c.Check(newClaimant("g", 0).claimDelay(), qt.Equals, time.Duration(0), qt.Commentf("the capacity is unknown"))
	c.Check(newClaimant("w", 0.04).claimDelay() >= weakClaimDelay, qt.IsTrue)
}

// A gateway that deposed the planner has waited for the successors before it. It must not wait
// again while there is no planner.
func TestDeposingGatewayClaimsAtOnce(t *testing.T) {
	g := newClaimant("g", 0.04, "s0", "s1", "s2")
	g.deposedAt.Store(int64(g.clock()))
	qt.Check(t, g.claimDelay(), qt.Equals, time.Duration(0))
}
