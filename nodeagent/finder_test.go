package nodeagent

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/link"
)

func newTestFinder() *plannerFinder {
	return newPlannerFinder(Config{Seeds: []string{"a", "b"}, Log: discardLogger()}, nil)
}

// The planner's instance loses power. Until another has the duty all gateways still name
// it, and each report that follows them waits for a timeout, past the moment at which the
// next planner is there.
func TestFailedPlannerIsNotRetriedImmediately(t *testing.T) {
	c := qt.New(t)
	f := newTestFinder()
	c.Assert(f.accept(&link.PeerReply{Planner: "a", Epoch: 1}), qt.IsTrue)
	f.markFailed("a", nil)
	c.Check(f.accept(&link.PeerReply{Planner: "a", Epoch: 1}), qt.IsFalse)
	c.Check(f.accept(&link.PeerReply{Planner: "b", Epoch: 2}), qt.IsTrue)
	f.markFailed("b", nil)
	c.Check(f.accept(&link.PeerReply{Planner: "a", Epoch: 1}), qt.IsFalse, qt.Commentf("an older planner"))
	f.lastFailedAt -= failedPlannerBackoff
	c.Check(f.accept(&link.PeerReply{Planner: "b", Epoch: 2}), qt.IsTrue, qt.Commentf("it may be back"))
}

// A planner answers with an epoch that is over: it is not followed again.
func TestExpiredEpochIsNotFollowed(t *testing.T) {
	c := qt.New(t)
	f := newTestFinder()
	c.Assert(f.accept(&link.PeerReply{Planner: "a", Epoch: 3}), qt.IsTrue)
	f.rejectEpoch(3)
	c.Check(f.accept(&link.PeerReply{Planner: "a", Epoch: 3}), qt.IsFalse)
	c.Check(f.accept(&link.PeerReply{Planner: "a", Epoch: 4}), qt.IsTrue)
}

// Hundreds of agents look for the next planner at once. Each asks a few gateways, others
// each time, so that one of them knows soon and none is kept from answering.
func TestSearchRotatesThroughGateways(t *testing.T) {
	c := qt.New(t)
	f := newTestFinder()
	for i := range 2 * maxGateways {
		f.addGateways([]string{fmt.Sprint("g", i)})
	}
	asked := map[string]bool{}
	for range maxGateways {
		chosen := f.chooseGateways()
		c.Assert(chosen, qt.HasLen, maxQueried)
		for _, g := range chosen {
			asked[g] = true
		}
	}
	c.Check(asked, qt.HasLen, maxGateways)
}
