package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/internal/rotation"
	"github.com/eelgrasshub/eelgrasshub/lease"
)

// members tracks the other gateways: the seeds, and those heard from or named by others. It is
// safe for concurrent use.
type members struct {
	self      string
	seeds     []string
	mu        sync.Mutex
	lastHeard map[string]time.Duration
	// capacity is the reported Config.PlanningCapacity of each gateway.
	capacity map[string]float64
	rotation rotation.Selector
}

const (
	// maxSampleSize is how many gateways one reply names. It keeps the size of replies
	// independent of the number of gateways.
	maxSampleSize = 6
	// maxSuccessors is how many preferred successors the planner names.
	maxSuccessors = 3
)

func newMembers(self string, seeds []string) *members {
	return &members{self: self, seeds: seeds, lastHeard: map[string]time.Duration{}, capacity: map[string]float64{}}
}

// markHeard records that a message from a gateway has arrived.
func (m *members) markHeard(address string) {
	if address == "" || address == m.self {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastHeard[address] = lease.BootTime()
}

// addHint adds a gateway that another one named. It expires sooner than one that was heard
// from, and never replaces an existing entry.
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

// live returns the live gateways, including this one, sorted by address.
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

// sample returns a subset of the live gateways. Successive calls rotate through all of them.
func (m *members) sample() []string {
	live := m.live()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rotation.Next(live, maxSampleSize)
}

// setCapacity records the planning capacity that a gateway reported.
func (m *members) setCapacity(address string, capacity float64) {
	if address == "" || capacity <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.capacity[address] = capacity
}

// successors returns the preferred successors of the planner: the eligible live peers with the
// highest planning capacity, in descending order.
func (m *members) successors(eligible func(address string) bool) []string {
	out := slices.DeleteFunc(m.livePeers(), func(a string) bool { return !eligible(a) })
	m.mu.Lock()
	defer m.mu.Unlock()
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(m.capacity[b], m.capacity[a]) })
	return out[:min(len(out), maxSuccessors)]
}

// livePeers returns the live gateways other than this one.
func (m *members) livePeers() []string {
	return slices.DeleteFunc(m.live(), func(a string) bool { return a == m.self })
}

// knownPeers returns the live peers and the seeds.
func (m *members) knownPeers() []string {
	out := m.livePeers()
	for _, s := range m.seeds {
		if s != m.self && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// plannerTracker holds the newest known planner. It is safe for concurrent use.
type plannerTracker struct {
	mu      sync.Mutex
	epoch   uint64
	address string
}

// update records a planner if its epoch is newer than the known one.
func (p *plannerTracker) update(epoch uint64, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if epoch > p.epoch {
		p.epoch, p.address = epoch, address
	}
}

// get returns the newest known planner; the address is empty if none is known.
func (p *plannerTracker) get() (epoch uint64, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch, p.address
}
