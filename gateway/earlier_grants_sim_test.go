package gateway

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	grantWorlds    = flag.Uint64("grant-worlds", 120, "number of worlds of earlier planners' grants")
	grantFirstSeed = flag.Uint64("grant-first", 1, "seed of the first of these worlds")
)

// grantWorld simulates planners that replace each other while gateways are cut off, not served by the store,
// suspended and restarted, and checks until when earlier planners grant leases.
type grantWorld struct {
	*fleet
	seed uint64
	// isolatedUntil is when each gateway is connected again. Until apartUntil there are two groups.
	isolatedUntil map[*fleetNode]time.Duration
	apartUntil    time.Duration
	group         map[*fleetNode]bool
	terms         []*grantTerm
	// lastGrant is by epoch. extended counts grants after the end of a lease, ruledOut the takeovers after
	// which no extension was assumed.
	lastGrant map[uint64]time.Duration
	// assumed is by when each planner assumed that its predecessors had granted, by epoch. It outlasts the
	// planner's process, as the planner records the leases that end by then.
	assumed            map[uint64]time.Duration
	extended, ruledOut int
}

// grantTerm is one planner. Its lease expires at expiresAt; 0 while it is held.
type grantTerm struct {
	node      *fleetNode
	process   *peering
	epoch     uint64
	expiresAt time.Duration
}

const grantWorldStep = 100 * ms

func newGrantWorld(c *qt.C, seed uint64) *grantWorld {
	w := &grantWorld{fleet: newFleet(c, 3+int(seed%3)), seed: seed, isolatedUntil: map[*fleetNode]time.Duration{}, lastGrant: map[uint64]time.Duration{}, assumed: map[uint64]time.Duration{}}
	w.random = rand.New(rand.NewPCG(seed, 1))
	w.cut = func(a, b *fleetNode) bool {
		return w.now < max(w.isolatedUntil[a], w.isolatedUntil[b]) || w.now < w.apartUntil && w.group[a] != w.group[b]
	}
	w.delay = func() time.Duration {
		if w.chance(0.02) {
			return w.randomTime(5 * second)
		}
		return linkDelay + w.randomTime(50*ms)
	}
	w.run(2 * second)
	w.replacePlanner()
	w.run(2 * memberTTL)
	return w
}

func (w *grantWorld) chance(p float64) bool { return w.random.Float64() < p }

func (w *grantWorld) randomNode() *fleetNode { return w.nodes[w.random.IntN(len(w.nodes))] }

func (w *grantWorld) current() *grantTerm { return w.terms[len(w.terms)-1] }

// replacePlanner makes a random gateway the planner. The lease of the last one has expired or does so within
// its TTL.
func (w *grantWorld) replacePlanner() {
	node := w.randomNode()
	if !node.up || len(w.terms) > 0 && w.current().node == node {
		return
	}
	if len(w.terms) > 0 && w.current().expiresAt == 0 {
		w.current().expiresAt = w.now + w.randomTime(plannerLeaseTTL)
	}
	w.takeOver(node)
	w.terms = append(w.terms, &grantTerm{node: node, process: node.peering, epoch: w.epoch})
	if node.earlierGrants.end-w.now <= plannerLeaseTTL {
		w.ruledOut++
	}
}

// disturb makes some of the things happen that a step may bring.
func (w *grantWorld) disturb() {
	if w.chance(0.01) {
		w.isolatedUntil[w.randomNode()] = w.now + w.randomTime(2*memberTTL)
	}
	if w.chance(0.01) {
		w.apartUntil, w.group = w.now+w.randomTime(2*memberTTL), map[*fleetNode]bool{w.randomNode(): true, w.randomNode(): true}
	}
	if w.chance(0.01) {
		node := w.randomNode()
		node.unserved = !node.unserved
	}
	if w.chance(0.02) {
		unserved := w.chance(0.3)
		for _, node := range w.nodes {
			node.unserved = unserved
		}
	}
	if w.chance(0.01) {
		w.suspend(w.randomNode())
	}
	if w.chance(0.01) {
		node := w.randomNode()
		node.epoch = 0
		w.startProcess(node, node.self)
	}
	if w.chance(0.01) && w.current().expiresAt == 0 {
		w.current().expiresAt, w.current().node.epoch = w.now, 0
	}
	if w.chance(0.03) {
		w.replacePlanner()
	}
}

func (w *grantWorld) suspend(node *fleetNode) {
	node.up = false
	w.after(w.randomTime(12*second), func() { node.up = true })
}

// grant lets each planner grant leases that may do so.
func (w *grantWorld) grant() {
	for _, t := range w.terms {
		if !t.node.up || t.node.peering != t.process {
			continue
		}
		held := t.expiresAt == 0 || w.now < t.expiresAt
		extends := !held && t.node.unserved && t.node.mayExtendGrants(t.epoch, t.expiresAt)
		if extends {
			w.extended++
		}
		if held || extends {
			w.lastGrant[t.epoch] = w.now
		}
	}
}

func (w *grantWorld) check() {
	for _, t := range w.terms {
		if known := &t.process.earlierGrants; known.epoch == t.epoch {
			w.assumed[t.epoch] = known.end
		}
		for epoch, at := range w.lastGrant {
			end, begun := w.assumed[t.epoch]
			w.c.Assert(!begun || epoch >= t.epoch || at <= end, qt.IsTrue, qt.Commentf("seed %d: planner %d granted a lease at %v; planner %d assumed none after %v", w.seed, epoch, at, t.epoch, end))
		}
	}
	for _, node := range w.nodes {
		for epoch, at := range w.lastGrant {
			known, end := node.earlierGrants.epoch, node.earlierGrants.end
			w.c.Assert(epoch >= known || at <= end, qt.IsTrue, qt.Commentf("seed %d: planner %d granted a lease at %v; %s, which knows of planner %d, assumes none after %v", w.seed, epoch, at, node.self, known, end))
		}
	}
}

// Guards against a task that runs twice because a planner, cut off or suspended, grants leases for longer than the
// other gateways assume or tell each other.
func TestGrantsEndByAssumedTime(t *testing.T) {
	c := qt.New(t)
	extended, ruledOut := 0, 0
	for i := range *grantWorlds {
		w := newGrantWorld(c, *grantFirstSeed+i)
		for end := w.now + time.Minute; w.now < end; {
			w.disturb()
			w.run(grantWorldStep)
			w.grant()
			w.check()
		}
		extended, ruledOut = extended+w.extended, ruledOut+w.ruledOut
	}
	c.Logf("%d extended grants, %d takeovers that assume none", extended, ruledOut)
	c.Check(extended > 0, qt.IsTrue)
	c.Check(ruledOut > 0, qt.IsTrue)
}
