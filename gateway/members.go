package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// members tracks the other gateways: the seeds, and those heard from or named by others. Every
// gateway queries the planner, so the planner hears from all of them; the others know a part that
// does not depend on the size of the fleet. It is safe for concurrent use.
type members struct {
	self    string
	clock   func() time.Duration
	shuffle func(n int, swap func(i, j int))

	mu    sync.Mutex
	known map[string]*member
	// ring has the known gateways and this one in the order in which sample names them.
	ring      []*member
	nextNamed int
	// contacts are the peers that are queried if the planner does not help.
	contacts []string
}

// member is what is known of one gateway. Times are on the boot clock, and zero if the event has
// not happened.
type member struct {
	address  string
	seed     bool          // it is never forgotten
	heardAt  time.Duration // a message of the gateway arrived
	firstAt  time.Duration // the first such message arrived
	namedAt  time.Duration // another gateway, or the registry, named it
	failedAt time.Duration // it did not answer; zero if it was heard from since
	capacity float64       // its Config.PlanningCapacity
}

const (
	// maxSampleSize is how many gateways one reply names. It keeps the size of replies
	// independent of the number of gateways.
	maxSampleSize = 6
	// maxSuccessors is how many preferred successors the planner names.
	maxSuccessors = 3
	// forgetAfter is how long a gateway that is not heard from or named any more remains a
	// candidate for queries. If many instances fail at once, the others still know each other.
	forgetAfter = time.Minute
)

func newMembers(self string, seeds []string, clock func() time.Duration) *members {
	m := &members{self: self, clock: clock, shuffle: rand.Shuffle, known: map[string]*member{}}
	m.ring = []*member{{address: self}}
	for _, s := range seeds {
		if s != self {
			m.get(s).seed = true
		}
	}
	return m
}

// lastSign returns when the gateway was last heard from or named.
func (p *member) lastSign() time.Duration { return max(p.heardAt, p.namedAt) }

// heard reports whether the gateway was heard from within memberTTL.
func (p *member) heard(now time.Duration) bool {
	return p.heardAt != 0 && now-p.heardAt < memberTTL
}

// get returns the entry of a gateway, and adds it if it is new. The mutex is held.
func (m *members) get(address string) *member {
	p := m.known[address]
	if p == nil {
		p = &member{address: address}
		m.known[address] = p
		m.ring = append(m.ring, p)
	}
	return p
}

// markHeard records that a message from a gateway has arrived.
func (m *members) markHeard(address string) {
	if address == "" || address == m.self {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.get(address)
	p.heardAt, p.failedAt = m.clock(), 0
	if p.firstAt == 0 {
		p.firstAt = p.heardAt
	}
}

// addHint adds a gateway that another one named. It is queried, but neither named to others nor
// counted as live until it is heard from, so that names of gateways that are gone do not
// circulate.
func (m *members) addHint(address string) {
	if address == "" || address == m.self {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.get(address).namedAt = m.clock()
}

// markFailed records that a gateway did not answer. It is replaced as a contact, and still counts
// as live until it has not been heard from for memberTTL.
func (m *members) markFailed(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.known[address]; p != nil {
		p.failedAt = m.clock()
	}
	m.contacts = slices.DeleteFunc(m.contacts, func(a string) bool { return a == address })
}

// forgetSilent removes the gateways that were neither heard from nor named for forgetAfter, and
// returns them.
func (m *members) forgetSilent() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	var out []string
	m.ring = slices.DeleteFunc(m.ring, func(p *member) bool {
		if p.address == m.self || p.seed || now-p.lastSign() < forgetAfter {
			return false
		}
		out = append(out, p.address)
		delete(m.known, p.address)
		return true
	})
	m.contacts = slices.DeleteFunc(m.contacts, func(a string) bool { return slices.Contains(out, a) })
	return out
}

// sample returns this gateway and others that it has heard from, maxSampleSize at most.
// Successive calls rotate through all of them.
func (m *members) sample() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	out := make([]string, 0, maxSampleSize)
	for range m.ring {
		p := m.ring[m.nextNamed%len(m.ring)]
		m.nextNamed++
		if p.address == m.self || p.heard(now) {
			out = append(out, p.address)
		}
		if len(out) == maxSampleSize {
			break
		}
	}
	return out
}

// setCapacity records the planning capacity that a gateway reported.
func (m *members) setCapacity(address string, capacity float64) {
	if address == "" || address == m.self || capacity <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.get(address).capacity = capacity
}

// livePeers returns the other gateways that were heard from within memberTTL.
func (m *members) livePeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return addressesOf(m.live())
}

// firstHeard returns when the first message of a known gateway arrived; 0 if none has.
func (m *members) firstHeard(address string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.known[address]; p != nil {
		return p.firstAt
	}
	return 0
}

// heardSince returns the other gateways that were heard from after the given time.
func (m *members) heardSince(since time.Duration) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return addressesOf(slices.DeleteFunc(slices.Clone(m.ring), func(p *member) bool { return p.heardAt == 0 || p.heardAt <= since }))
}

// live returns the entries of livePeers. The mutex is held.
func (m *members) live() []*member {
	now := m.clock()
	var out []*member
	for _, p := range m.ring {
		if p.heard(now) {
			out = append(out, p)
		}
	}
	return out
}

// successors returns the preferred successors of the planner: the eligible live peers with the
// highest planning capacity, in descending order.
func (m *members) successors(eligible func(address string) bool) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := slices.DeleteFunc(m.live(), func(p *member) bool { return !eligible(p.address) })
	slices.SortFunc(out, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.address, b.address))
	})
	return addressesOf(out[:min(len(out), maxSuccessors)])
}

func addressesOf(members []*member) []string {
	var out []string
	for _, p := range members {
		out = append(out, p.address)
	}
	return out
}
