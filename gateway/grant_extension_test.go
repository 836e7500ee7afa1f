package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/link"
)

// Guards against a task that runs twice because a planner that is cut off forgets, one by one, the gateways
// that could end the extension of its grants, among them the successor that relies on that.
func TestNoExtensionAfterSuccessorHasRuledItOut(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 3)
	f.run(2 * memberTTL)
	planner, successor := f.nodes[1], f.nodes[0]
	planner.up = false // it is cut off from the other gateways
	contact := f.now
	ruledOut := 0
	for takeover := contact; takeover < contact+2*memberTTL; takeover += second / 2 {
		if successor.storeStatus.predecessorExtension(takeover, f.epoch) != 0 {
			continue
		}
		ruledOut++
		assumedEnd := takeover + plannerLeaseTTL
		for _, expiredAt := range []time.Duration{takeover, assumedEnd} {
			for f.now = assumedEnd; f.now < expiredAt+maxGrantExtension; f.now += 100 * ms {
				c.Assert(planner.mayExtendGrants(f.epoch, expiredAt), qt.IsFalse, qt.Commentf("lease expired %v, extension %v after the last contact, takeover after %v", expiredAt-contact, f.now-contact, takeover-contact))
			}
		}
	}
	c.Check(ruledOut > 0, qt.IsTrue)
}

// Guards against a lease that is granted on the word of a gateway that reports a newer planner in the same
// reply.
func TestNoExtensionUnderNewerPlanner(t *testing.T) {
	c := qt.New(t)
	now := 60 * second
	p := newPeering("self", nil, func() time.Duration { return now }, func() uint64 { return 0 })
	p.learnPlanner(4, "self")
	p.mergeReply("b", &link.PeerReply{Epoch: 4, Planner: "self", ProcessAge: time.Minute}, now)
	c.Check(p.mayExtendGrants(4, now), qt.IsTrue)
	p.mergeReply("b", &link.PeerReply{Epoch: 5, Planner: "b", ProcessAge: time.Minute}, now)
	c.Check(p.mayExtendGrants(4, now), qt.IsFalse)
}

// Guards against a task that runs twice because a planner extends its grants by the word of a gateway that was
// its successor, was restarted and does not know of that any more.
func TestNoExtensionByWordOfRestartedGateway(t *testing.T) {
	c := qt.New(t)
	for processAge, extends := range map[time.Duration]bool{second: false, time.Minute: true} {
		now := 60 * second
		p := newPeering("self", nil, func() time.Duration { return now }, func() uint64 { return 0 })
		p.learnPlanner(4, "self")
		p.mergeReply("b", &link.PeerReply{Epoch: 4, Planner: "self", ProcessAge: processAge}, now)
		c.Check(p.mayExtendGrants(4, now), qt.Equals, extends, qt.Commentf("a process of %v", processAge))
	}
}
