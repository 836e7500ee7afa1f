package nodeagent

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/link"
)

func newTestFinder() *plannerFinder {
	return newPlannerFinder(Config{Seeds: []string{"a", "b"}, Log: discardLogger()}, nil, &Counters{})
}

// Gateways name a failed planner until a new one has taken over. Retrying it at once would
// delay the report to the new planner by a timeout.
func TestFailedPlannerIsNotRetriedImmediately(t *testing.T) {
	c := qt.New(t)
	f := newTestFinder()
	c.Assert(f.accept(&link.PeerReply{Planner: "a", Epoch: 1}), qt.IsTrue)
	f.markFailed("a", nil)
	c.Check(f.accept(&link.PeerReply{Planner: "a", Epoch: 1}), qt.IsFalse)
	c.Check(f.accept(&link.PeerReply{Planner: "b", Epoch: 2}), qt.IsTrue)
	f.markFailed("b", nil)
	c.Check(f.accept(&link.PeerReply{Planner: "a", Epoch: 1}), qt.IsFalse, qt.Commentf("the planner is older than the last one"))
	f.lastFailedAt -= failedPlannerBackoff
	c.Check(f.accept(&link.PeerReply{Planner: "b", Epoch: 2}), qt.IsTrue, qt.Commentf("the backoff has passed"))
}

// A planner that answered under an outdated epoch is not followed again.
func TestExpiredEpochIsNotFollowed(t *testing.T) {
	c := qt.New(t)
	f := newTestFinder()
	c.Assert(f.accept(&link.PeerReply{Planner: "a", Epoch: 3}), qt.IsTrue)
	f.rejectEpoch(3)
	c.Check(f.accept(&link.PeerReply{Planner: "a", Epoch: 3}), qt.IsFalse)
	c.Check(f.accept(&link.PeerReply{Planner: "a", Epoch: 4}), qt.IsTrue)
}

// Many agents search for the planner at once. Each queries only a few gateways at a time, so
// that none is overloaded.
func TestSearchRotatesThroughGateways(t *testing.T) {
	c := qt.New(t)
	f := newTestFinder()
	for i := range 2 * maxGateways {
		f.addGateways([]string{fmt.Sprint("g", i)})
	}
	asked := map[string]bool{}
	for range maxGateways {
		chosen := f.chooseGateways(time.Hour) // none of them answers
		c.Assert(chosen, qt.HasLen, maxQueried)
		for _, g := range chosen {
			asked[g] = true
		}
	}
	c.Check(asked, qt.HasLen, maxGateways)
}

// While there is no planner, all agents would read the registry, which lists all gateways. It is
// read only if no known gateway answers, or if those that answer find no planner for long.
func TestRegistryIsReadOnlyIfGatewaysDoNotHelp(t *testing.T) {
	c := qt.New(t)
	f := newTestFinder()
	start := time.Hour
	c.Check(f.claimRegistryRead(start), qt.IsFalse)
	c.Check(f.claimRegistryRead(start+registryReadDelay+time.Millisecond), qt.IsTrue, qt.Commentf("no gateway answers"))
	c.Check(f.claimRegistryRead(start+registryReadDelay+2*time.Millisecond), qt.IsFalse, qt.Commentf("it was just read"))

	f = newTestFinder()
	c.Check(f.claimRegistryRead(start), qt.IsFalse)
	reads := 0
	for at := start; at < start+2*registryFallbackDelay; at += 100 * time.Millisecond {
		f.answeredAt = at
		if f.claimRegistryRead(at) {
			reads++
		}
	}
	c.Check(reads, qt.Equals, 1, qt.Commentf("gateways answer, but know no planner"))
}

// Agents that the planner does not admit yet search for it again and again. Each must not open a
// connection to every gateway that it knows.
func TestSearchKeepsGatewaysThatAnswer(t *testing.T) {
	c := qt.New(t)
	f := newTestFinder()
	for i := range 2 * maxGateways {
		f.addGateways([]string{fmt.Sprint("g", i)})
	}
	start := time.Hour
	first := f.chooseGateways(start)
	f.answeredAt = start + time.Millisecond
	c.Check(f.chooseGateways(start+maxChoiceAge), qt.DeepEquals, first)
	c.Check(f.chooseGateways(start+maxChoiceAge+time.Millisecond), qt.Not(qt.DeepEquals), first)
}
