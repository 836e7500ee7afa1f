package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/eelgrasshub/eelgrasshub/metrics"
)

// handOverInterval is the time between two hand-overs by one entry. Each successor's
// planner has to load its jobs, so they are spread out.
const handOverInterval = 500 * time.Millisecond

// candidacyDelay returns how long this entry waits for more preferred candidates before
// it claims a vacant leadership.
func (es *elections) candidacyDelay(service string) time.Duration {
	return time.Duration(rank(service, es.entry.cfg.ID, es.entry.registry.candidates())) * candidacyDelayStep
}

// balance hands leaderships over to the entries preferred for them until the entry stops.
// Without it, the entry that starts first would keep all leaderships of the region, and
// run more planners than one entry has capacity for.
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

// handOverOne hands over at most one leadership. It does nothing while the session's
// lease is not valid: the store is then probably unavailable, and no entry could take
// over.
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
	es.entry.log.WithField("service", service).WithField("to", to).Info("planner leadership handed over")
	es.entry.metrics.Add(metrics.LeadershipsHandedOver, 1)
	p.Stop() // before the successor's planner starts
	el.candidate.Yield(epoch)
	es.updateRegistration()
}

// ownLeaderships lists the leaderships held here, ordered by service.
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
