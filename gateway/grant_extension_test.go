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

// wordOfYoungGateway reports whether a planner extends its grants by the word of a gateway whose process started
// one second ago, and that it first heard from at the given age of that process; negative if before.
func wordOfYoungGateway(firstHeard time.Duration) bool {
	const age = second
	now := 60*second - age + firstHeard
	p := newPeering("self", nil, func() time.Duration { return now }, func() uint64 { return 0 })
	p.learnPlanner(4, "self")
	p.mergeQuery(&link.PeerQuery{Address: "b", Epoch: 4, Planner: "self", StoreUnreachable: true})
	now = 60 * second
	p.mergeReply("b", &link.PeerReply{Epoch: 4, Planner: "self", ProcessAge: age}, now)
	return p.mayExtendGrants(4, now)
}

// Guards against a task that runs twice because a planner extends its grants by the word of a gateway that was
// its successor, was restarted and does not know of that any more.
func TestNoExtensionByWordOfRestartedGateway(t *testing.T) {
	qt.Check(t, wordOfYoungGateway(-second), qt.IsFalse)
}

// Guards against runs that are lost in an outage of the store because another gateway was started shortly before
// it, after the planner's last renewal of its lease.
func TestExtensionByWordOfNewGateway(t *testing.T) {
	qt.Check(t, wordOfYoungGateway(10*ms), qt.IsTrue)
}
