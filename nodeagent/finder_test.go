package nodeagent

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/link"
)

func testFinder() *finder {
	return newFinder(Config{Seeds: []string{"a", "b"}, Log: quietLog()}, nil)
}

// The planner's instance loses power. Until another has the duty all gateways still name
// it, and each report that follows them waits for a timeout, past the moment at which the
// next planner is there.
func TestDeadPlannerIsNotAskedAgainAtOnce(t *testing.T) {
	c := qt.New(t)
	f := testFinder()
	c.Assert(f.take(&link.PeerReply{Planner: "a", Epoch: 1}), qt.IsTrue)
	f.failed("a", nil)
	c.Check(f.take(&link.PeerReply{Planner: "a", Epoch: 1}), qt.IsFalse)
	c.Check(f.take(&link.PeerReply{Planner: "b", Epoch: 2}), qt.IsTrue)
	f.failed("b", nil)
	c.Check(f.take(&link.PeerReply{Planner: "a", Epoch: 1}), qt.IsFalse, qt.Commentf("an older planner"))
	f.deadAt -= deadFor
	c.Check(f.take(&link.PeerReply{Planner: "b", Epoch: 2}), qt.IsTrue, qt.Commentf("it may be back"))
}

// A planner answers with an epoch that is over: it is not followed again.
func TestStalePlannerIsLeft(t *testing.T) {
	c := qt.New(t)
	f := testFinder()
	c.Assert(f.take(&link.PeerReply{Planner: "a", Epoch: 3}), qt.IsTrue)
	f.stale(3)
	c.Check(f.take(&link.PeerReply{Planner: "a", Epoch: 3}), qt.IsFalse)
	c.Check(f.take(&link.PeerReply{Planner: "a", Epoch: 4}), qt.IsTrue)
}

// Hundreds of agents look for the next planner at once. Each asks a few gateways, others
// each time, so that one of them knows soon and none is kept from answering.
func TestSearchAsksAFewGatewaysInTurn(t *testing.T) {
	c := qt.New(t)
	f := testFinder()
	for i := range 2 * mostMembers {
		f.learn([]string{fmt.Sprint("g", i)})
	}
	asked := map[string]bool{}
	for range mostMembers {
		some := f.choose()
		c.Assert(some, qt.HasLen, mostAsked)
		for _, g := range some {
			asked[g] = true
		}
	}
	c.Check(asked, qt.HasLen, mostMembers)
}
