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
	// minChoiceFactor is how many times as many peers must be known as contacts are needed for
	// contacts to be kept. With a small choice, too many gateways would keep the seeds.
	minChoiceFactor = 16
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

// livePeers returns the other gateways that were heard from within memberTTL, sorted by address.
func (m *members) livePeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	var out []string
	for address, p := range m.known {
		if p.heard(now) {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// successors returns the preferred successors of the planner: the eligible live peers with the
// highest planning capacity, in descending order.
func (m *members) successors(eligible func(address string) bool) []string {
	out := slices.DeleteFunc(m.livePeers(), func(a string) bool { return !eligible(a) })
	m.mu.Lock()
	defer m.mu.Unlock()
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(m.capacityOf(b), m.capacityOf(a)) })
	return out[:min(len(out), maxSuccessors)]
}

// capacityOf returns the capacity that a gateway reported, zero if none. The mutex is held.
func (m *members) capacityOf(address string) float64 {
	if p := m.known[address]; p != nil {
		return p.capacity
	}
	return 0
}

// chooseContacts returns up to n peers to query. It returns the same ones as long as they answer,
// so that a gateway has connections to few others. They are not kept while few peers are known: a
// gateway that has just started knows only the seeds, which are the same for all gateways.
func (m *members) chooseContacts(n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.contacts) >= n {
		return slices.Clone(m.contacts[:n])
	}
	out := m.fill(slices.Clone(m.contacts), n, func(string) bool { return true })
	if m.countSeen() >= minChoiceFactor*n {
		m.contacts = slices.Clone(out)
	}
	return out
}

// countSeen returns how many peers were heard from or named. The mutex is held.
func (m *members) countSeen() int {
	n := 0
	for _, p := range m.known {
		if p.lastSign() != 0 {
			n++
		}
	}
	return n
}

// choose returns up to n eligible peers, contacts first.
func (m *members) choose(n int, eligible func(address string) bool) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := slices.DeleteFunc(slices.Clone(m.contacts), func(a string) bool { return !eligible(a) })
	return m.fill(out, n, eligible)
}

// fill appends random eligible peers to chosen until there are n. Seeds that have not been heard of
// come after the others, and peers that failed to answer within memberTTL last. The mutex is held.
func (m *members) fill(chosen []string, n int, eligible func(address string) bool) []string {
	var candidates []*member
	for _, p := range m.ring {
		if p.address != m.self && !slices.Contains(chosen, p.address) && eligible(p.address) {
			candidates = append(candidates, p)
		}
	}
	m.shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	now := m.clock()
	slices.SortStableFunc(candidates, func(a, b *member) int { return cmp.Compare(a.suitability(now), b.suitability(now)) })
	for _, p := range candidates[:min(len(candidates), max(0, n-len(chosen)))] {
		chosen = append(chosen, p.address)
	}
	return chosen
}

// suitability orders peers as contacts; lower is better.
func (p *member) suitability(now time.Duration) time.Duration {
	switch {
	case p.failedAt != 0 && now-p.failedAt < memberTTL:
		return p.failedAt // those that failed longest ago come first
	case p.lastSign() == 0:
		return 1
	}
	return 0
}
