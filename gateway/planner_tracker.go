package gateway

import "sync"

// plannerTracker holds the newest known planner. It is safe for concurrent use.
type plannerTracker struct {
	mu      sync.Mutex
	epoch   uint64
	address string
}

// update records a planner if its epoch is newer than the known one, and reports whether it is.
func (p *plannerTracker) update(epoch uint64, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if epoch <= p.epoch {
		return false
	}
	p.epoch, p.address = epoch, address
	return true
}

// get returns the newest known planner; the address is empty if none is known.
func (p *plannerTracker) get() (epoch uint64, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch, p.address
}
