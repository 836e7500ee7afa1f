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

// candidacyStagger is the time between the candidacies of one entry for two services.
const candidacyStagger = 10 * time.Millisecond

// elections competes for the planner duty of every service that has a document,
// and runs a planner for each one it gains. It is safe for concurrent use.
//
// All elections are held under the one lease of the entry's session.
//
// A planner is not stopped when its lease lapses: in an outage of the store
// every lease does, and without a planner the gangs of several members would
// stop by isolation. Agents and job records refuse whatever it should no longer
// do; it ends when it learns of a successor.
type elections struct {
	entry *Entry

	mu        sync.Mutex
	byService map[string]*election
	stopped   bool
}

// election is the candidacy for one service.
type election struct {
	service      string
	candidate    *lease.Candidate
	planner      *planner.Planner
	epoch        uint64
	electedAt    time.Time
	handedOverAt time.Time // when it was last handed over
}

func newElections(e *Entry) *elections {
	return &elections{entry: e, byService: make(map[string]*election)}
}

// setDocument begins the candidacy for a service, or hands its planner the new
// generation.
func (d *elections) setDocument(h *document.Held) {
	d.mu.Lock()
	defer d.mu.Unlock()
	service := h.Version.Service
	if d.stopped || !d.entry.servesService(service) {
		return
	}
	if du := d.byService[service]; du != nil {
		if du.planner != nil {
			du.planner.SetDocument(h)
		}
		return
	}
	du := &election{service: service}
	d.byService[service] = du
	// A store with many services would get the calls of all candidacies in the
	// moment of an entry's start.
	time.AfterFunc(candidacyStagger*time.Duration(len(d.byService)-1), func() { d.start(du) })
}

// start begins the candidacy.
func (d *elections) start(du *election) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	du.candidate = lease.StartCandidate(lease.CandidateOptions{
		Session:    d.entry.session,
		Election:   d.entry.cfg.Region + "/" + du.service,
		Instance:   d.entry.cfg.ID,
		ClaimDelay: func() time.Duration { return d.candidacyDelay(du.service) },
		OnChange:   func(held lease.Leadership, ok bool) { d.leadershipChanged(du, held, ok) },
		Log:        d.entry.log,
	})
}

// leadershipChanged is called from the holder's goroutine and must not block.
func (d *elections) leadershipChanged(du *election, held lease.Leadership, ok bool) {
	if ok {
		go d.elected(du, held.Epoch)
	}
}

func (d *elections) elected(du *election, epoch uint64) {
	d.mu.Lock()
	if d.stopped || epoch <= du.epoch {
		d.mu.Unlock()
		return
	}
	old := du.planner
	du.planner, du.epoch, du.electedAt = nil, epoch, time.Now()
	d.mu.Unlock()
	if old != nil {
		old.Stop()
	}
	d.startPlanner(du, epoch)
}

// startPlanner starts the planner of a term and tells it of all agents known.
func (d *elections) startPlanner(du *election, epoch uint64) {
	held, ok := d.entry.documents.Current(du.service)
	if !ok {
		return
	}
	p := planner.Start(planner.Config{
		Service:   du.service,
		Epoch:     epoch,
		Store:     d.entry.store,
		Jobs:      d.entry.jobs,
		Agents:    gangClient{d.entry.agents},
		Metrics:   d.entry.metrics,
		Log:       d.entry.log.WithFields(logrus.Fields{"service": du.service, "epoch": epoch}),
		Document:  held,
		Retention: d.entry.retention,
	})
	d.mu.Lock()
	if d.stopped || du.epoch != epoch {
		d.mu.Unlock()
		p.Stop()
		return
	}
	du.planner = p
	d.mu.Unlock()
	d.entry.members.replayReports(du.service, p)
	d.updateRegistration()
	go d.awaitPlannerEnd(du, p)
}

// awaitPlannerEnd drops a planner that found itself superseded.
func (d *elections) awaitPlannerEnd(du *election, p *planner.Planner) {
	<-p.Done()
	d.mu.Lock()
	current := du.planner == p
	if current {
		du.planner = nil
	}
	d.mu.Unlock()
	if !current {
		return
	}
	// The store may have been restored from a backup and have given this entry an
	// epoch that was used before. It shows as agents that refuse it although no
	// other entry plans; raising the epoch above theirs ends it.
	if higher := p.SupersedingEpoch(); higher > 0 {
		du.candidate.ObserveEpoch(higher)
	}
	d.updateRegistration()
}

// updateRegistration tells the other entries which duties this one holds.
func (d *elections) updateRegistration() {
	d.mu.Lock()
	var held []leadership
	for _, du := range d.byService {
		if du.planner != nil {
			held = append(held, leadership{Service: du.service, Epoch: du.epoch})
		}
	}
	d.mu.Unlock()
	d.entry.registry.setLeaderships(held)
}

// planner returns this entry's planner of the service, or nil.
func (d *elections) planner(service string) *planner.Planner {
	d.mu.Lock()
	defer d.mu.Unlock()
	if du := d.byService[service]; du != nil {
		return du.planner
	}
	return nil
}

// leaderships lists the duties for the status page.
func (d *elections) leaderships() []api.Duty {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []api.Duty{}
	for _, du := range d.byService {
		if du.planner != nil {
			out = append(out, api.Duty{Service: du.service, Region: d.entry.cfg.Region, Epoch: du.epoch, Since: du.electedAt})
		}
	}
	return out
}

// jobStatus asks this entry's planner for a job.
func (d *elections) jobStatus(ctx context.Context, service, id string) (api.JobStatus, bool) {
	p := d.planner(service)
	if p == nil {
		return api.JobStatus{}, false
	}
	s, ok := p.Status(ctx, id)
	if !ok {
		return api.JobStatus{}, false
	}
	return plannerStatus(s), true
}

// plannerAddr returns where the entry with the duty is reached, if that is
// another one.
func (d *elections) plannerAddr(service string) (string, bool) {
	if d.planner(service) != nil {
		return "", false
	}
	p, _, ok := d.entry.registry.planner(service)
	return p.Address, ok
}

// resignAll hands all duties over: first the planner stops deciding, then the
// lease is given back, and the next candidate goes on at once.
func (d *elections) resignAll(ctx context.Context) {
	d.entry.registry.setLeaving()
	d.mu.Lock()
	d.stopped = true
	var all []*election
	for _, du := range d.byService {
		all = append(all, du)
	}
	d.mu.Unlock()
	var wg sync.WaitGroup
	for _, du := range all {
		wg.Go(func() {
			if du.planner != nil {
				du.planner.Stop()
			}
			if du.candidate != nil {
				_ = du.candidate.Resign(ctx) // the lease lapses by itself otherwise
			}
		})
	}
	wg.Wait()
}
