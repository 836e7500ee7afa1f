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
	own   string
	seeds []string
	mu    sync.Mutex
	heard map[string]time.Duration
	// strength is what each gateway said it can carry, see Config.Strength.
	strength map[string]float64
	named    rotation.Turn
}

const (
	// namedMost is how many gateways one answer names. Were it all of them, the traffic of
	// each agent would grow with the number of gateways: 800 bytes an answer with 39.
	namedMost = 6
	// heirsMost is how many gateways the planner names to take its duty when it dies.
	heirsMost = 3
)

func newMembers(own string, seeds []string) *members {
	return &members{own: own, seeds: seeds, heard: map[string]time.Duration{}, strength: map[string]float64{}}
}

// hear notes that a gateway is there.
func (m *members) hear(address string) {
	if address == "" || address == m.own {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard[address] = lease.BootTime()
}

// suggest notes a gateway that another one named, unless it is known better.
func (m *members) suggest(address string) {
	if address == m.own {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.heard[address]; !known {
		m.heard[address] = lease.BootTime() - memberFor/2
	}
}

// live returns the gateways heard from lately, this one included.
func (m *members) live() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []string{m.own}
	for address, at := range m.heard {
		if lease.BootTime()-at < memberFor {
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
	return m.named.Take(live, namedMost)
}

// carries notes what a gateway said it can carry.
func (m *members) carries(address string, strength float64) {
	if address == "" || strength <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.strength[address] = strength
}

// heirs returns the other gateways that are best able to plan, the strongest first: of
// those that fit says may.
func (m *members) heirs(fit func(address string) bool) []string {
	out := slices.DeleteFunc(m.peers(), func(a string) bool { return !fit(a) })
	m.mu.Lock()
	defer m.mu.Unlock()
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(m.strength[b], m.strength[a]) })
	return out[:min(len(out), heirsMost)]
}

// peers returns the other gateways heard from lately.
func (m *members) peers() []string {
	return slices.DeleteFunc(m.live(), func(a string) bool { return a == m.own })
}

// others returns every gateway worth asking: those heard from, and the seeds.
func (m *members) others() []string {
	out := m.peers()
	for _, s := range m.seeds {
		if s != m.own && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// planners is what is known of who plans.
type planners struct {
	mu      sync.Mutex
	epoch   uint64
	address string
}

// learn takes a planner that is not older than the one known.
func (p *planners) learn(epoch uint64, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if epoch > p.epoch {
		p.epoch, p.address = epoch, address
	}
}

// get returns the newest planner known.
func (p *planners) get() (epoch uint64, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch, p.address
}
