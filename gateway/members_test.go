package gateway

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Replies that named all gateways would dominate the planner's traffic. Each names a few, and
// an agent that asks repeatedly learns of all.
func TestSampleRotatesThroughGateways(t *testing.T) {
	c := qt.New(t)
	m := newMembers("own", nil)
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
	m := newMembers("planner", nil)
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
