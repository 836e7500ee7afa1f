package gateway

import (
	"cmp"
	"slices"
	"time"
)

// minChoiceFactor is how many times as many peers must be known as contacts are needed for
// contacts to be kept. With a small choice, too many gateways would keep the seeds.
const minChoiceFactor = 16

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
	missing := min(len(candidates), max(0, n-len(chosen)))
	return append(chosen, addressesOf(candidates[:missing])...)
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
