package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/lease"
)

// Replies that named all gateways would dominate the planner's traffic. Each names a few, and
// an agent that asks repeatedly learns of all.
func TestSampleRotatesThroughGateways(t *testing.T) {
	c := qt.New(t)
	m := newMembers("own", nil, lease.BootTime)
	const gateways = 39
	for i := range gateways - 1 {
		m.markHeard(fmt.Sprint("g", i))
	}
	named := map[string]bool{}
	for range gateways {
		sample := m.sample()
		c.Assert(sample, qt.HasLen, maxSampleSize)
		for _, g := range sample {
			named[g] = true
		}
	}
	c.Check(named, qt.HasLen, gateways)
}

// If all gateways deposed a failed planner at once, a weak one could win and be deposed in turn
// before it has read the records. The strongest gateways that the store serves come first.
func TestSuccessorsOrderedByCapacity(t *testing.T) {
	c := qt.New(t)
	m := newMembers("planner", nil, lease.BootTime)
	for i, capacity := range []float64{0.2, 0.8, 0.4, 0.1, 0.6} {
		m.markHeard(fmt.Sprint("g", i))
		m.setCapacity(fmt.Sprint("g", i), capacity)
	}
	served := func(g string) bool { return g != "g4" }
	successors := m.successors(served)
	c.Check(successors, qt.DeepEquals, []string{"g1", "g2", "g0"})

	d := &failureDetector{}
	d.setSuccessors(successors)
	order := []string{"g1", "g2", "g0", "g3"}
	c.Check(d.timeout("g1"), qt.Equals, minDetectionTimeout)
	c.Check(slices.IsSortedFunc(order, func(a, b string) int { return int(d.timeout(a) - d.timeout(b)) }), qt.IsTrue)
	c.Check(d.timeout("g4"), qt.Equals, d.timeout("g3"), qt.Commentf("all other gateways wait equally long"))
}

// Before a planner has named successors, no gateway waits longer than the detection timeout.
func TestNoStaggerWithoutSuccessors(t *testing.T) {
	qt.Check(t, (&failureDetector{}).timeout("g"), qt.Equals, minDetectionTimeout)
}

// Gateways that are gone must not be named from one to the next for ever.
func TestHintsAreNotPassedOn(t *testing.T) {
	c := qt.New(t)
	m := newMembers("own", []string{"seed"}, lease.BootTime)
	m.addHint("named")
	m.markHeard("heard")
	c.Check(m.sample(), qt.ContentEquals, []string{"own", "heard"})
	c.Check(m.livePeers(), qt.DeepEquals, []string{"heard"})
	c.Check(m.chooseContacts(3), qt.ContentEquals, []string{"named", "heard", "seed"})
}

// A contact is kept while it answers, so that a search does not open a connection to another peer
// each time. One that fails is replaced.
func TestContactsAreKeptWhileTheyAnswer(t *testing.T) {
	c := qt.New(t)
	m := newMembers("own", nil, lease.BootTime)
	for i := range 100 {
		m.addHint(fmt.Sprint("g", i))
	}
	first := m.chooseContacts(searchFanout)
	c.Assert(first, qt.HasLen, searchFanout)
	c.Check(m.chooseContacts(searchFanout), qt.DeepEquals, first)
	m.markFailed(first[0])
	next := m.chooseContacts(searchFanout)
	c.Check(next[:searchFanout-1], qt.DeepEquals, first[1:])
	c.Check(next, qt.Not(qt.Contains), first[0])
}

// A gateway that has not been heard of for long is forgotten, so that a fleet whose addresses
// change does not fill the memory.
func TestSilentGatewaysAreForgotten(t *testing.T) {
	c := qt.New(t)
	now := second
	m := newMembers("own", []string{"seed"}, func() time.Duration { return now })
	m.markHeard("gone")
	now += forgetAfter / 2
	m.markHeard("live")
	now += forgetAfter / 2
	c.Check(m.forgetSilent(), qt.DeepEquals, []string{"gone"})
	c.Check(m.chooseContacts(3), qt.ContentEquals, []string{"live", "seed"})
}

// A gateway that did not answer while it restarted must be chosen again later, although nobody
// queries it and so nobody hears from it.
func TestFailedPeerIsChosenAgain(t *testing.T) {
	c := qt.New(t)
	now := second
	m := newMembers("own", nil, func() time.Duration { return now })
	m.addHint("restarting")
	m.addHint("other")
	m.markFailed("restarting")
	c.Check(m.choose(1, func(string) bool { return true }), qt.DeepEquals, []string{"other"})
	now += memberTTL
	chosen := map[string]bool{}
	for range 100 {
		chosen[m.choose(1, func(string) bool { return true })[0]] = true
	}
	c.Check(chosen, qt.HasLen, 2)
}
