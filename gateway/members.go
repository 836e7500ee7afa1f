package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/internal/rotation"
	"github.com/eelgrasshub/eelgrasshub/lease"
)

// members are the other gateways that are known: the seeds, and those heard from.
type members struct {
	self      string
	seeds     []string
	mu        sync.Mutex
	lastHeard map[string]time.Duration
	// capacity is what each gateway said it can carry, see Config.Strength.
	capacity map[string]float64
	rotation rotation.Turn
}

const (
	// maxSampleSize is how many gateways one answer names. Were it all of them, the traffic of
	// each agent would grow with the number of gateways: 800 bytes an answer with 39.
	maxSampleSize = 6
	// maxSuccessors is how many gateways the planner names to take its duty when it dies.
	maxSuccessors = 3
)

func newMembers(self string, seeds []string) *members {
	return &members{self: self, seeds: seeds, lastHeard: map[string]time.Duration{}, capacity: map[string]float64{}}
}

// markHeard notes that a gateway is there.
func (m *members) markHeard(address string) {
	if address == "" || address == m.self {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastHeard[address] = lease.BootTime()
}

// addHint notes a gateway that another one named, unless it is known better.
func (m *members) addHint(address string) {
	if address == m.self {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.lastHeard[address]; !known {
		m.lastHeard[address] = lease.BootTime() - memberTTL/2
	}
}

// live returns the gateways heard from lately, this one included.
func (m *members) live() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []string{m.self}
	for address, at := range m.lastHeard {
		if lease.BootTime()-at < memberTTL {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// sample returns some of the live gateways, others each time, so that who asks again and
// again learns of all.
func (m *members) sample() []string {
	live := m.live()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rotation.Take(live, maxSampleSize)
}

// setCapacity notes what a gateway said it can carry.
func (m *members) setCapacity(address string, capacity float64) {
	if address == "" || capacity <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.capacity[address] = capacity
}

// successors returns the other gateways that are best able to plan, the strongest first: of
// those that fit says may.
func (m *members) successors(eligible func(address string) bool) []string {
	out := slices.DeleteFunc(m.livePeers(), func(a string) bool { return !eligible(a) })
	m.mu.Lock()
	defer m.mu.Unlock()
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(m.capacity[b], m.capacity[a]) })
	return out[:min(len(out), maxSuccessors)]
}

// livePeers returns the other gateways heard from lately.
func (m *members) livePeers() []string {
	return slices.DeleteFunc(m.live(), func(a string) bool { return a == m.self })
}

// knownPeers returns every gateway worth asking: those heard from, and the seeds.
func (m *members) knownPeers() []string {
	out := m.livePeers()
	for _, s := range m.seeds {
		if s != m.self && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// plannerTracker is what is known of who plans.
type plannerTracker struct {
	mu      sync.Mutex
	epoch   uint64
	address string
}

// update takes a planner that is not older than the one known.
func (p *plannerTracker) update(epoch uint64, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if epoch > p.epoch {
		p.epoch, p.address = epoch, address
	}
}

// get returns the newest planner known.
func (p *plannerTracker) get() (epoch uint64, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch, p.address
}
