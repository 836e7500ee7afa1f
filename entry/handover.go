package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/eelgrasshub/eelgrasshub/metrics"
)

// handOverInterval is the time between two hand-overs by one entry: the successors'
// planners read their jobs one after the other.
const handOverInterval = 500 * time.Millisecond

// candidacyDelay is for how long this entry leaves a vacant duty to those before it.
func (d *elections) candidacyDelay(service string) time.Duration {
	return time.Duration(rank(service, d.entry.cfg.ID, d.entry.registry.candidates())) * candidacyDelayStep
}

// balance hands duties over to the entries that are preferred for them, until the
// entry stops.
//
// Without it the entry that starts first holds every duty of the region for as long
// as it lives: 94 planners are more than one entry may spend on control.
func (d *elections) balance() error {
	ticker := time.NewTicker(handOverInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.entry.tomb.Dying():
			return nil
		case now := <-ticker.C:
			d.handOverOne(now)
		}
	}
}

// handOverOne hands one duty over, where that is worth it. While the store is out it
// is not: nobody could take the duty.
func (d *elections) handOverOne(now time.Time) {
	if !d.entry.session.Valid() {
		return
	}
	service, to, ok := chooseHandOver(now, d.entry.cfg.ID, d.ownLeaderships(), d.entry.registry.candidates())
	if !ok {
		return
	}
	d.mu.Lock()
	du := d.byService[service]
	p, epoch := du.planner, du.epoch
	if d.stopped || p == nil {
		d.mu.Unlock()
		return
	}
	du.planner, du.handedOverAt = nil, now
	d.mu.Unlock()
	d.entry.log.WithField("service", service).WithField("to", to).Info("duty handed over")
	d.entry.metrics.Add(metrics.DutiesHandedOver, 1)
	p.Stop() // it decides nothing more before the successor begins
	du.candidate.Yield(epoch)
	d.updateRegistration()
}

// ownLeaderships lists the duties held here, by service.
func (d *elections) ownLeaderships() []ownLeadership {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []ownLeadership
	for _, du := range d.byService {
		if du.planner != nil {
			out = append(out, ownLeadership{service: du.service, handedOverAt: du.handedOverAt})
		}
	}
	slices.SortFunc(out, func(a, b ownLeadership) int { return strings.Compare(a.service, b.service) })
	return out
}
