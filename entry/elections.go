package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/planner"
)

// candidacyStagger is the delay between the starts of this entry's candidacies for two
// services.
const candidacyStagger = 10 * time.Millisecond

// elections takes part in the planner election of every service that has a document, and
// runs a planner for each service that this entry leads. All its leaderships are held
// under the lease of the entry's session. It is safe for concurrent use.
//
// A planner is not stopped when its lease expires: during an outage of the store every
// lease expires, and without a planner, gangs of several members would reach their
// isolation deadline and stop. Agents and job records reject what a superseded planner
// sends, and it ends when it learns of its successor.
type elections struct {
	entry *Entry

	mu        sync.Mutex
	byService map[string]*election
	stopped   bool

	registering sync.Mutex // held while the leaderships are read and registered
}

// election is the candidacy for one service, and the planner while this entry leads.
type election struct {
	service      string
	candidate    *lease.Candidate
	planner      *planner.Planner
	epoch        uint64
	electedAt    time.Time
	handedOverAt time.Time // when the leadership was last handed over
}

func newElections(e *Entry) *elections {
	return &elections{entry: e, byService: make(map[string]*election)}
}

// setDocument starts the candidacy for a service, or passes the new generation to its
// planner.
func (es *elections) setDocument(active *document.ActiveVersion) {
	es.mu.Lock()
	defer es.mu.Unlock()
	service := active.Version.Service
	if es.stopped || !es.entry.servesService(service) {
		return
	}
	if el := es.byService[service]; el != nil {
		if el.planner != nil {
			el.planner.SetDocument(active)
		}
		return
	}
	el := &election{service: service}
	es.byService[service] = el
	// Staggered, because otherwise the store would get the calls of all candidacies at
	// once when an entry starts.
	time.AfterFunc(candidacyStagger*time.Duration(len(es.byService)-1), func() { es.start(el) })
}

// start starts the candidacy for a service, unless this entry is stopping.
func (es *elections) start(el *election) {
	es.mu.Lock()
	defer es.mu.Unlock()
	if es.stopped {
		return
	}
	el.candidate = lease.StartCandidate(lease.CandidateOptions{
		Session:    es.entry.session,
		Election:   es.entry.cfg.Region + "/" + el.service,
		Instance:   es.entry.cfg.ID,
		ClaimDelay: func() time.Duration { return es.candidacyDelay(el.service) },
		OnChange:   func(l lease.Leadership, ok bool) { es.leadershipChanged(el, l, ok) },
		Log:        es.entry.log,
	})
}

// leadershipChanged is called from the candidate's goroutine and must not block.
func (es *elections) leadershipChanged(el *election, l lease.Leadership, ok bool) {
	if ok {
		go es.elected(el, l.Epoch)
	}
}

// elected stops the planner of an earlier term, if any, and starts one for the new epoch.
func (es *elections) elected(el *election, epoch uint64) {
	es.mu.Lock()
	if es.stopped || epoch <= el.epoch {
		es.mu.Unlock()
		return
	}
	old := el.planner
	el.planner, el.epoch, el.electedAt = nil, epoch, time.Now()
	es.mu.Unlock()
	if old != nil {
		old.Stop()
	}
	es.startPlanner(el, epoch)
}

// startPlanner starts the planner of a term and passes the reports of all known agents to
// it.
func (es *elections) startPlanner(el *election, epoch uint64) {
	active, ok := es.entry.documents.Current(el.service)
	if !ok {
		return
	}
	p := planner.Start(planner.Config{
		Service:   el.service,
		Epoch:     epoch,
		Store:     es.entry.store,
		Jobs:      es.entry.jobs,
		Agents:    gangClient{es.entry.agents},
		Metrics:   es.entry.metrics,
		Log:       es.entry.log.WithFields(logrus.Fields{"service": el.service, "epoch": epoch}),
		Document:  active,
		Retention: es.entry.retention,
	})
	if !es.installPlanner(el, epoch, p) {
		p.Stop()
		return
	}
	es.entry.members.replayReports(el.service, p)
	es.updateRegistration()
	go es.awaitPlannerEnd(el, p)
}

// installPlanner makes p the planner of a term, with the document that is active now; that
// may have changed since p was started. It returns false if the term has ended.
func (es *elections) installPlanner(el *election, epoch uint64, p *planner.Planner) bool {
	es.mu.Lock()
	defer es.mu.Unlock()
	if es.stopped || el.epoch != epoch {
		return false
	}
	el.planner = p
	if active, ok := es.entry.documents.Current(el.service); ok {
		p.SetDocument(active)
	}
	return true
}

// awaitPlannerEnd drops a planner that ended because it was superseded.
func (es *elections) awaitPlannerEnd(el *election, p *planner.Planner) {
	<-p.Done()
	es.mu.Lock()
	isCurrent := el.planner == p
	if isCurrent {
		el.planner = nil
	}
	es.mu.Unlock()
	if !isCurrent {
		return
	}
	// After the store was restored from a backup, this entry may have been given an epoch
	// that was used before. Agents then refuse it although no other entry leads.
	// Observing the higher epoch lets the entry raise its own above it.
	if higher := p.SupersedingEpoch(); higher > 0 {
		el.candidate.ObserveEpoch(higher)
	}
	es.updateRegistration()
}

// updateRegistration publishes the services that this entry leads. Concurrent calls must
// not publish an older list last.
func (es *elections) updateRegistration() {
	es.registering.Lock()
	defer es.registering.Unlock()
	es.mu.Lock()
	var held []leadership
	for _, el := range es.byService {
		if el.planner != nil {
			held = append(held, leadership{Service: el.service, Epoch: el.epoch})
		}
	}
	es.mu.Unlock()
	es.entry.registry.setLeaderships(held)
}

// planner returns this entry's planner of the service, or nil.
func (es *elections) planner(service string) *planner.Planner {
	es.mu.Lock()
	defer es.mu.Unlock()
	if el := es.byService[service]; el != nil {
		return el.planner
	}
	return nil
}

// leaderships lists the planner leaderships of this entry for the status page.
func (es *elections) leaderships() []api.Leadership {
	es.mu.Lock()
	defer es.mu.Unlock()
	out := []api.Leadership{}
	for _, el := range es.byService {
		if el.planner != nil {
			out = append(out, api.Leadership{Service: el.service, Region: es.entry.cfg.Region, Epoch: el.epoch, Since: el.electedAt})
		}
	}
	return out
}

// jobStatus asks this entry's planner for the status of a job.
func (es *elections) jobStatus(ctx context.Context, service, id string) (api.JobStatus, bool) {
	p := es.planner(service)
	if p == nil {
		return api.JobStatus{}, false
	}
	s, ok := p.Status(ctx, id)
	if !ok {
		return api.JobStatus{}, false
	}
	return plannerStatus(s), true
}

// plannerAddr returns the address of the entry that leads the service, unless that is
// this one.
func (es *elections) plannerAddr(service string) (string, bool) {
	if es.planner(service) != nil {
		return "", false
	}
	p, _, ok := es.entry.registry.leader(service)
	return p.Address, ok
}

// resignAll gives up all leaderships. Each planner stops before the lease is released,
// and the next candidate then takes over at once.
func (es *elections) resignAll(ctx context.Context) {
	es.entry.registry.setLeaving()
	es.mu.Lock()
	es.stopped = true
	var all []*election
	for _, el := range es.byService {
		all = append(all, el)
	}
	es.mu.Unlock()
	var wg sync.WaitGroup
	for _, el := range all {
		wg.Go(func() {
			if el.planner != nil {
				el.planner.Stop()
			}
			if el.candidate != nil {
				_ = el.candidate.Resign(ctx) // the lease expires by itself otherwise
			}
		})
	}
	wg.Wait()
}
