package planner

import (
	"context"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// Planner is one term of the planner duty of one scheduling domain. Its loop
// goroutine owns all state; the exported methods are safe for concurrent use.
type Planner struct {
	cfg  Config
	t    tomb.Tomb
	work chan func()

	sched   *scheduler.Scheduler
	doc     *document.Held
	jobs    map[string]*job
	workers map[string]*worker
	recent  *lru.Cache[string, jobs.Stored]
	number  uint64 // of the last attempt under this epoch
	rebuilt bool   // all records have been read
	// storeOut: the store did not answer the last write or probe.
	storeOut bool
	over     bool // superseded: nothing is touched any more
	wake     *time.Timer

	whole atomic.Pointer[wholeAttempts]
	stats atomic.Pointer[scheduler.Stats]

	higher atomic.Uint64

	reports reports
}

// Start begins a term. Stop ends it.
func Start(cfg Config) *Planner {
	recent, err := lru.New[string, jobs.Stored](recentJobs)
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	p := &Planner{
		cfg:     cfg,
		work:    make(chan func(), workQueue),
		sched:   scheduler.New(scheduler.Options{Start: time.Now(), SettlingPeriod: settleFor}),
		doc:     cfg.Document,
		jobs:    make(map[string]*job),
		workers: make(map[string]*worker),
		recent:  recent,
		wake:    time.NewTimer(time.Hour),
	}
	p.whole.Store(&wholeAttempts{at: clock.Now()})
	p.stats.Store(&scheduler.Stats{})
	p.t.Go(func() error {
		p.t.Go(p.loop)
		p.t.Go(p.follow)
		return nil
	})
	return p
}

// Stop ends the term and waits. What runs at the agents runs on.
func (p *Planner) Stop() {
	p.t.Kill(nil)
	_ = p.t.Wait()
}

// Done is closed when the term has ended, also by a higher epoch.
func (p *Planner) Done() <-chan struct{} {
	return p.t.Dead()
}

// SetDocument puts a new generation in force.
func (p *Planner) SetDocument(h *document.Held) {
	p.post(func() {
		p.doc = h
		p.decide(scheduler.PolicyChanged{Policy: policyOf(h)})
	})
}

// Stats returns the scheduler's summary as of the last housekeeping.
func (p *Planner) Stats() scheduler.Stats {
	return *p.stats.Load()
}

func (p *Planner) loop() error {
	defer p.wake.Stop()
	defer p.returnPermits()
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	p.decide(scheduler.PolicyChanged{Policy: policyOf(p.doc)})
	for {
		select {
		case <-p.t.Dying():
			p.stopTimers()
			return nil
		case f := <-p.work:
			f()
		case <-p.wake.C:
			p.decide(scheduler.Tick{})
		case <-ticker.C:
			p.housekeep(clock.Now())
		}
		if p.over {
			p.stopTimers()
			p.t.Kill(nil)
			return nil
		}
	}
}

func (p *Planner) housekeep(now time.Time) {
	p.loseSilent(now)
	p.resolveHeld(now)
	p.enforce(time.Now())
	p.withholdUnpermitted()
	p.writePermits(time.Now())
	p.placeRunning(time.Now())
	p.publishWhole(now)
	stats := p.sched.Stats()
	p.stats.Store(&stats)
}

func (p *Planner) stopTimers() {
	for _, j := range p.jobs {
		if j.timer != nil {
			j.timer.Stop()
		}
	}
}

// post runs f on the loop's goroutine. It waits while the queue is full and
// returns without effect when the term has ended.
func (p *Planner) post(f func()) {
	select {
	case p.work <- f:
	case <-p.t.Dying():
	}
}

// superseded ends the term: a higher epoch is in charge, and nothing that this
// planner still believes may be written. The epoch is 0 where it is not known.
func (p *Planner) superseded(why string, epoch uint64) {
	if !p.over {
		p.cfg.Log.WithField("higher_epoch", epoch).Warn("planner superseded: " + why)
	}
	p.over = true
	p.higher.Store(max(epoch, p.cfg.Epoch+1))
}

// outranked ends the term where a job's record names a higher epoch.
func (p *Planner) outranked(r jobs.Stored) bool {
	if r.Epoch <= p.cfg.Epoch {
		return false
	}
	p.superseded("a job's record names a higher epoch", r.Epoch)
	return true
}

// SupersedingEpoch returns an epoch above this planner's own by which it was superseded,
// 0 if it was not. Where no other planner is behind it, as after the store was
// restored from a backup, the duty has to go on above it.
func (p *Planner) SupersedingEpoch() uint64 { return p.higher.Load() }

// context ends with the term.
func (p *Planner) context(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(p.t.Context(context.Background()), timeout)
}
