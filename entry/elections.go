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

// candidacyPause is the time between the candidacies of one entry for two services.
const candidacyPause = 10 * time.Millisecond

// duties competes for the planner duty of every service that has a document,
// and runs a planner for each one it gains. It is safe for concurrent use.
//
// All duties are held under the one lease of the entry's session.
//
// A planner is not stopped when its lease lapses: in an outage of the store
// every lease does, and without a planner the gangs of several members would
// stop by isolation. Agents and job records refuse whatever it should no longer
// do; it ends when it learns of a successor.
type duties struct {
	e *Entry

	mu       sync.Mutex
	services map[string]*duty
	stopped  bool
}

// duty is the candidacy for one service.
type duty struct {
	service string
	holder  *lease.Candidate
	planner *planner.Planner
	epoch   uint64
	since   time.Time
	offered time.Time // when it was last handed over
}

func newDuties(e *Entry) *duties {
	return &duties{e: e, services: make(map[string]*duty)}
}

// setDocument begins the candidacy for a service, or hands its planner the new
// generation.
func (d *duties) setDocument(h *document.Held) {
	d.mu.Lock()
	defer d.mu.Unlock()
	service := h.Version.Service
	if d.stopped || !d.e.serves(service) {
		return
	}
	if du := d.services[service]; du != nil {
		if du.planner != nil {
			du.planner.SetDocument(h)
		}
		return
	}
	du := &duty{service: service}
	d.services[service] = du
	// A store with many services would get the calls of all candidacies in the
	// moment of an entry's start.
	time.AfterFunc(candidacyPause*time.Duration(len(d.services)-1), func() { d.compete(du) })
}

// compete begins the candidacy.
func (d *duties) compete(du *duty) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	du.holder = lease.StartCandidate(lease.CandidateOptions{
		Session:    d.e.session,
		Election:   d.e.cfg.Region + "/" + du.service,
		Instance:   d.e.cfg.ID,
		ClaimDelay: func() time.Duration { return d.hesitate(du.service) },
		OnChange:   func(held lease.Leadership, ok bool) { d.changed(du, held, ok) },
		Log:        d.e.log,
	})
}

// changed is called from the holder's goroutine and must not block.
func (d *duties) changed(du *duty, held lease.Leadership, ok bool) {
	if ok {
		go d.gained(du, held.Epoch)
	}
}

func (d *duties) gained(du *duty, epoch uint64) {
	d.mu.Lock()
	if d.stopped || epoch <= du.epoch {
		d.mu.Unlock()
		return
	}
	old := du.planner
	du.planner, du.epoch, du.since = nil, epoch, time.Now()
	d.mu.Unlock()
	if old != nil {
		old.Stop()
	}
	d.begin(du, epoch)
}

// begin starts the planner of a term and tells it of all agents known.
func (d *duties) begin(du *duty, epoch uint64) {
	held, ok := d.e.docs.Current(du.service)
	if !ok {
		return
	}
	p := planner.Start(planner.Config{
		Service:   du.service,
		Epoch:     epoch,
		Store:     d.e.store,
		Jobs:      d.e.jobs,
		Agents:    gangCaller{d.e.agents},
		Metrics:   d.e.metrics,
		Log:       d.e.log.WithFields(logrus.Fields{"service": du.service, "epoch": epoch}),
		Document:  held,
		Retention: d.e.retention,
	})
	d.mu.Lock()
	if d.stopped || du.epoch != epoch {
		d.mu.Unlock()
		p.Stop()
		return
	}
	du.planner = p
	d.mu.Unlock()
	d.e.members.replay(du.service, p)
	d.register()
	go d.awaitEnd(du, p)
}

// awaitEnd drops a planner that found itself superseded.
func (d *duties) awaitEnd(du *duty, p *planner.Planner) {
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
		du.holder.ObserveEpoch(higher)
	}
	d.register()
}

// register tells the other entries which duties this one holds.
func (d *duties) register() {
	d.mu.Lock()
	var held []heldDuty
	for _, du := range d.services {
		if du.planner != nil {
			held = append(held, heldDuty{Service: du.service, Epoch: du.epoch})
		}
	}
	d.mu.Unlock()
	d.e.registry.setDuties(held)
}

// planner returns this entry's planner of the service, or nil.
func (d *duties) planner(service string) *planner.Planner {
	d.mu.Lock()
	defer d.mu.Unlock()
	if du := d.services[service]; du != nil {
		return du.planner
	}
	return nil
}

// held lists the duties for the status page.
func (d *duties) held() []api.Duty {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []api.Duty{}
	for _, du := range d.services {
		if du.planner != nil {
			out = append(out, api.Duty{Service: du.service, Region: d.e.cfg.Region, Epoch: du.epoch, Since: du.since})
		}
	}
	return out
}

// status asks this entry's planner for a job.
func (d *duties) status(ctx context.Context, service, id string) (api.JobStatus, bool) {
	p := d.planner(service)
	if p == nil {
		return api.JobStatus{}, false
	}
	s, ok := p.Status(ctx, id)
	if !ok {
		return api.JobStatus{}, false
	}
	return liveStatus(s), true
}

// plannerAddr returns where the entry with the duty is reached, if that is
// another one.
func (d *duties) plannerAddr(service string) (string, bool) {
	if d.planner(service) != nil {
		return "", false
	}
	p, _, ok := d.e.registry.planner(service)
	return p.Address, ok
}

// resign hands all duties over: first the planner stops deciding, then the
// lease is given back, and the next candidate goes on at once.
func (d *duties) resign(ctx context.Context) {
	d.e.registry.setLeaving()
	d.mu.Lock()
	d.stopped = true
	var all []*duty
	for _, du := range d.services {
		all = append(all, du)
	}
	d.mu.Unlock()
	var wg sync.WaitGroup
	for _, du := range all {
		wg.Go(func() {
			if du.planner != nil {
				du.planner.Stop()
			}
			if du.holder != nil {
				_ = du.holder.Resign(ctx) // the lease lapses by itself otherwise
			}
		})
	}
	wg.Wait()
}
