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
func (es *elections) candidacyDelay(service string) time.Duration {
	return time.Duration(rank(service, es.entry.cfg.ID, es.entry.registry.candidates())) * candidacyDelayStep
}

// balance hands duties over to the entries that are preferred for them, until the
// entry stops.
//
// Without it the entry that starts first holds every duty of the region for as long
// as it lives: 94 planners are more than one entry may spend on control.
func (es *elections) balance() error {
	ticker := time.NewTicker(handOverInterval)
	defer ticker.Stop()
	for {
		select {
		case <-es.entry.tomb.Dying():
			return nil
		case now := <-ticker.C:
			es.handOverOne(now)
		}
	}
}

// handOverOne hands one duty over, where that is worth it. While the store is out it
// is not: nobody could take the duty.
func (es *elections) handOverOne(now time.Time) {
	if !es.entry.session.Valid() {
		return
	}
	service, to, ok := chooseHandOver(now, es.entry.cfg.ID, es.ownLeaderships(), es.entry.registry.candidates())
	if !ok {
		return
	}
	es.mu.Lock()
	el := es.byService[service]
	p, epoch := el.planner, el.epoch
	if es.stopped || p == nil {
		es.mu.Unlock()
		return
	}
	el.planner, el.handedOverAt = nil, now
	es.mu.Unlock()
	es.entry.log.WithField("service", service).WithField("to", to).Info("duty handed over")
	es.entry.metrics.Add(metrics.DutiesHandedOver, 1)
	p.Stop() // it decides nothing more before the successor begins
	el.candidate.Yield(epoch)
	es.updateRegistration()
}

// ownLeaderships lists the duties held here, by service.
func (es *elections) ownLeaderships() []ownLeadership {
	es.mu.Lock()
	defer es.mu.Unlock()
	var out []ownLeadership
	for _, el := range es.byService {
		if el.planner != nil {
			out = append(out, ownLeadership{service: el.service, handedOverAt: el.handedOverAt})
		}
	}
	slices.SortFunc(out, func(a, b ownLeadership) int { return strings.Compare(a.service, b.service) })
	return out
}
