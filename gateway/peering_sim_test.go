package gateway

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/link"
)

// fleet simulates the exchanges between gateways in virtual time, without a network. It drives
// the peering of each gateway as peerLoop and queryPeer do.
type fleet struct {
	c      *qt.C
	now    time.Duration
	events eventQueue
	random *rand.Rand
	nodes  []*fleetNode
	byName map[string]*fleetNode
	epoch  uint64
	seeds  []string
	// delay returns the time that a message takes, and cut reports whether none passes between two gateways.
	delay func() time.Duration
	cut   func(a, b *fleetNode) bool
}

// fleetNode is one simulated gateway.
type fleetNode struct {
	*peering
	up          bool
	epoch       uint64 // under which it plans, zero if it does not
	configStale bool
	unserved    bool // the store does not serve it
	sent        int  // queries
}

// linkDelay is the time that a message takes.
const linkDelay = 2 * ms

type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newFleet starts n gateways within a second. They know three seeds, the first of which does not
// exist.
func newFleet(c *qt.C, n int) *fleet {
	f := &fleet{c: c, now: time.Second, random: rand.New(rand.NewPCG(1, uint64(n))), byName: map[string]*fleetNode{}}
	f.seeds = []string{"gone", nodeName(0), nodeName(1)}
	f.delay = func() time.Duration { return linkDelay }
	f.cut = func(a, b *fleetNode) bool { return false }
	for i := range n {
		node := &fleetNode{}
		f.startProcess(node, nodeName(i))
		f.nodes = append(f.nodes, node)
		f.byName[node.self] = node
		f.after(f.randomTime(time.Second), func() { node.up = true; f.round(node) })
	}
	return f
}

// startProcess gives a gateway a process that knows nothing but the seeds.
func (f *fleet) startProcess(node *fleetNode, name string) {
	clock := func() time.Duration { return f.now }
	node.peering = newPeering(name, f.seeds, clock, func() uint64 { return node.epoch })
	node.members.shuffle = f.random.Shuffle
}

func nodeName(i int) string { return fmt.Sprint("g", i) }

func (f *fleet) randomTime(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

func (f *fleet) after(d time.Duration, do func()) { heap.Push(&f.events, event{f.now + d, do}) }

func (f *fleet) run(d time.Duration) {
	until := f.now + d
	for len(f.events) > 0 && f.events[0].at <= until {
		ev := heap.Pop(&f.events).(event)
		f.now = ev.at
		ev.do()
	}
	f.now = until
}

func (f *fleet) round(node *fleetNode) {
	if node.up {
		if node.unserved {
			node.storeStatus.observeSelf(f.now, time.Minute)
		}
		node.rankSuccessors()
		f.query(node, node.peersToQuery(node.configStale, !node.unserved))
		node.forgetSilent()
	}
	f.after(peerInterval, func() { f.round(node) })
}

func (f *fleet) query(from *fleetNode, addresses []string) {
	for _, address := range addresses {
		from.sent++
		epoch, planner := from.planner.get()
		msg := &link.PeerQuery{Address: from.self, Epoch: epoch, Planner: planner, PlanningCapacity: 1, StoreUnreachable: from.unserved, EarlierGrants: from.earlierGrants.tell(f.now, epoch)}
		sent := f.now
		f.after(f.delay(), func() { f.deliver(from, address, msg, sent) })
	}
}

func (f *fleet) deliver(from *fleetNode, address string, msg *link.PeerQuery, sent time.Duration) {
	to := f.byName[address]
	if to == nil || !to.up || f.cut(from, to) {
		f.after(peerTimeout, func() {
			if from.up {
				f.query(from, from.handleFailure(address))
			}
		})
		return
	}
	f.query(to, to.mergeQuery(msg))
	reply := to.reply(!to.unserved)
	f.after(f.delay(), func() {
		if from.up && !f.cut(from, to) {
			f.query(from, from.mergeReply(address, reply, sent))
		}
	})
}

// takeOver makes a gateway the planner.
func (f *fleet) takeOver(node *fleetNode) {
	for _, other := range f.nodes {
		other.epoch = 0
	}
	f.epoch++
	node.epoch = f.epoch
	f.query(node, node.learnPlanner(f.epoch, node.self))
}

func (f *fleet) live() []*fleetNode {
	var out []*fleetNode
	for _, node := range f.nodes {
		if node.up {
			out = append(out, node)
		}
	}
	return out
}

// knowing returns how many live gateways know the newest planner.
func (f *fleet) knowing() int {
	n := 0
	for _, node := range f.live() {
		if epoch, _ := node.planner.get(); epoch == f.epoch {
			n++
		}
	}
	return n
}

// queriesPerSecond runs the fleet and returns how many queries the gateways send each in a second,
// on average and at most.
func (f *fleet) queriesPerSecond(seconds int) (mean, most float64) {
	before := map[*fleetNode]int{}
	for _, node := range f.nodes {
		before[node] = node.sent
	}
	f.run(time.Duration(seconds) * second)
	total := 0
	for _, node := range f.live() {
		sent := node.sent - before[node]
		total += sent
		most = max(most, float64(sent)/float64(seconds))
	}
	return float64(total) / float64(seconds*len(f.live())), most
}

// startFleet starts a fleet whose first planner takes over after two seconds, and lets it settle.
func startFleet(c *qt.C, n int) *fleet {
	f := newFleet(c, n)
	f.run(2 * second)
	f.takeOver(f.nodes[n/2])
	f.run(5 * second)
	return f
}

// Limits of the queries that a gateway sends in a second, at any size of the fleet.
const (
	maxQueriesInCalm     = 3
	maxQueriesInSearch   = 15
	maxQueriesInTakeover = 20
)

var fleetSizes = []int{3, 50, 200, 1000, 2000}

func forEachSize(t *testing.T, test func(c *qt.C, n int)) {
	for _, n := range fleetSizes {
		t.Run(fmt.Sprint("gateways=", n), func(t *testing.T) { test(qt.New(t), n) })
	}
}

// Queries to all peers grow with the square of the number of gateways. A gateway sends two a
// second to the planner, and a fixed number more while its configuration is stale.
func TestPeerQueriesDoNotGrowWithFleet(t *testing.T) {
	forEachSize(t, func(c *qt.C, n int) {
		f := startFleet(c, n)
		_, most := f.queriesPerSecond(5)
		c.Check(most <= maxQueriesInCalm, qt.IsTrue, qt.Commentf("%.1f queries a second in calm", most))
		for i, node := range f.nodes {
			node.configStale = i%3 == 0
		}
		_, most = f.queriesPerSecond(5)
		c.Check(most <= maxQueriesInSearch, qt.IsTrue, qt.Commentf("%.1f queries a second with stale configurations", most))
	})
}

// Gateways that have just started know only the seeds, one of which does not exist, and do not
// know a planner yet.
func TestPeerQueriesAtStartAreBounded(t *testing.T) {
	forEachSize(t, func(c *qt.C, n int) {
		f := newFleet(c, n)
		_, most := f.queriesPerSecond(4)
		c.Check(most <= maxQueriesInSearch, qt.IsTrue, qt.Commentf("%.1f queries a second without a planner", most))
		f.takeOver(f.nodes[n-1])
		f.run(2 * second)
		c.Check(f.knowing(), qt.Equals, n)
	})
}

// The planner fails, alone or with half of the fleet, and its first successor takes over. The
// survivors know the new planner, and it knows them, within two seconds.
func TestNewPlannerIsKnownEverywhere(t *testing.T) {
	for _, failing := range []float64{0, 0.55} {
		t.Run(fmt.Sprint("failing=", failing), func(t *testing.T) {
			forEachSize(t, func(c *qt.C, n int) {
				f := startFleet(c, n)
				planner := f.nodes[n/2]
				for _, node := range f.nodes[2:] {
					node.up = f.random.Float64() >= failing
				}
				planner.up = false
				f.run(600 * ms)
				successor := f.nodes[1]
				f.takeOver(successor)
				mean, _ := f.queriesPerSecond(2)
				live := len(f.live())
				c.Check(f.knowing(), qt.Equals, live)
				c.Check(containsLive(successor, f.live()), qt.IsTrue)
				c.Check(mean <= maxQueriesInTakeover, qt.IsTrue, qt.Commentf("%.1f queries a second", mean))
			})
		})
	}
}

// Seeds are the same for all gateways. They must be told of a new planner like any other gateway,
// and must not be the contacts of all.
func TestSeedsAreContactsLikeOthers(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 200)
	f.run(memberTTL) // seeds that did not answer before they had started are chosen again
	chosenBy := map[string]int{}
	for _, node := range f.nodes {
		for _, contact := range node.members.chooseContacts(announceFanout) {
			chosenBy[contact]++
		}
	}
	for _, seed := range f.seeds[1:] {
		c.Check(chosenBy[seed] >= 1 && chosenBy[seed] <= 5*announceFanout, qt.IsTrue, qt.Commentf("%s is a contact of %d gateways", seed, chosenBy[seed]))
	}
	c.Check(chosenBy["gone"], qt.Equals, 0)
}

// A planner that was replaced while it was cut off does not know its successor. Nobody queries it
// any more, so it has to search itself.
func TestReplacedPlannerFindsSuccessor(t *testing.T) {
	forEachSize(t, func(c *qt.C, n int) {
		f := startFleet(c, n)
		replaced := f.nodes[n/2]
		replaced.up = false
		f.run(600 * ms)
		f.takeOver(f.nodes[0])
		f.run(20 * second)
		replaced.up = true
		f.run(2 * second)
		c.Check(f.knowing(), qt.Equals, n)
	})
}

// In an outage of the store for all, the planner learns from every gateway that it is not served,
// and soon that one of them is served again. The others send no more than in any search.
func TestPlannerLearnsWhomTheStoreServes(t *testing.T) {
	forEachSize(t, func(c *qt.C, n int) {
		f := startFleet(c, n)
		planner := f.nodes[n/2]
		allUnserved := func() bool { return planner.storeStatus.allUnserved(f.now, planner.members.livePeers()) }
		c.Check(allUnserved(), qt.IsFalse)
		for _, node := range f.nodes {
			node.unserved, node.configStale = true, true
		}
		f.run(time.Second)
		c.Check(allUnserved(), qt.IsTrue)
		other := f.nodes[0]
		sent := other.sent
		f.run(time.Second)
		c.Check(other.sent-sent <= maxQueriesInSearch, qt.IsTrue, qt.Commentf("%d queries in a second", other.sent-sent))
		c.Check(allUnserved(), qt.IsTrue)
		other.unserved = false
		f.run(peerInterval + 10*ms)
		c.Check(allUnserved(), qt.IsFalse)
	})
}

// containsLive reports whether a gateway counts all the given ones as live.
func containsLive(node *fleetNode, live []*fleetNode) bool {
	known := map[string]bool{node.self: true}
	for _, address := range node.members.livePeers() {
		known[address] = true
	}
	for _, other := range live {
		if !known[other.self] {
			return false
		}
	}
	return true
}
