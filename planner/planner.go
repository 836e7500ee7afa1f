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

// Planner leads one scheduling domain for one term of leadership. Its loop
// goroutine owns all state; the exported methods are safe for concurrent use.
type Planner struct {
	cfg  Config
	tomb tomb.Tomb
	work chan func()
	// startedAt is when the term began, by clock.Now.
	startedAt time.Time

	sched             *scheduler.Scheduler
	doc               *document.ActiveVersion
	jobs              map[string]*job
	workers           map[string]*worker
	verifying         map[agentTask]bool // the record of their job is being read
	recentlyEnded     *lru.Cache[string, jobs.Stored]
	lastAttemptNumber uint64 // under this epoch
	recordsLoaded     bool   // all records have been read at least once
	// storeUnavailable is set if the store did not answer the last write,
	// until a probe succeeds.
	storeUnavailable bool
	superseded       bool // a higher epoch is known; nothing may be written or sent
	schedulerTimer   *time.Timer

	aliveAttempts atomic.Pointer[aliveAttempts]
	stats         atomic.Pointer[scheduler.Stats]

	supersedingEpoch atomic.Uint64

	reportCache reportCache
}

// Start begins a term. It ends with Stop, or when the planner is superseded.
func Start(cfg Config) *Planner {
	recent, err := lru.New[string, jobs.Stored](maxRecentlyEnded)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	p := &Planner{
		cfg:            cfg,
		work:           make(chan func(), workQueueSize),
		startedAt:      clock.Now(),
		sched:          scheduler.New(scheduler.Options{Start: time.Now(), SettlingPeriod: settlingPeriod}),
		doc:            cfg.Document,
		jobs:           make(map[string]*job),
		workers:        make(map[string]*worker),
		verifying:      make(map[agentTask]bool),
		recentlyEnded:  recent,
		schedulerTimer: time.NewTimer(time.Hour),
	}
	p.aliveAttempts.Store(&aliveAttempts{at: clock.Now()})
	p.stats.Store(&scheduler.Stats{})
	p.tomb.Go(func() error {
		p.tomb.Go(p.loop)
		p.tomb.Go(p.followRecords)
		return nil
	})
	return p
}

// Stop ends the term and waits until it has ended. Running tasks are not
// stopped.
func (p *Planner) Stop() {
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
}

// Done returns a channel that is closed when the term has ended.
func (p *Planner) Done() <-chan struct{} {
	return p.tomb.Dead()
}

// SetDocument activates a new generation of the document.
func (p *Planner) SetDocument(doc *document.ActiveVersion) {
	p.post(func() {
		if doc == p.doc {
			return
		}
		p.doc = doc
		p.stepScheduler(scheduler.PolicyChanged{Policy: schedulerPolicy(doc)})
	})
}

// Stats returns the scheduler's summary as of the last housekeeping.
func (p *Planner) Stats() scheduler.Stats {
	return *p.stats.Load()
}

func (p *Planner) loop() error {
	defer p.schedulerTimer.Stop()
	defer p.returnPermits()
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	p.stepScheduler(scheduler.PolicyChanged{Policy: schedulerPolicy(p.doc)})
	for {
		select {
		case <-p.tomb.Dying():
			p.stopTimers()
			return nil
		case f := <-p.work:
			f()
		case <-p.schedulerTimer.C:
			p.stepScheduler(scheduler.Tick{})
		case <-ticker.C:
			p.runHousekeeping(clock.Now())
		}
		if p.superseded {
			p.stopTimers()
			p.tomb.Kill(nil)
			return nil
		}
	}
}

func (p *Planner) runHousekeeping(now time.Time) {
	p.detectLostAgents(now)
	p.resolvePermits(now)
	p.enforceLimits(time.Now())
	p.withholdUnpermitted()
	p.writePermits(time.Now())
	p.recordPlacements(time.Now())
	p.publishAliveAttempts(now)
	stats := p.sched.Stats()
	p.stats.Store(&stats)
}

func (p *Planner) stopTimers() {
	for _, j := range p.jobs {
		if j.wakeTimer != nil {
			j.wakeTimer.Stop()
		}
	}
}

// post runs f on the loop's goroutine. It blocks while the queue is full and
// does nothing if the term has ended.
func (p *Planner) post(f func()) {
	select {
	case p.work <- f:
	case <-p.tomb.Dying():
	}
}

// endSuperseded ends the term because another planner has a higher epoch. Nothing
// may be written any more. epoch is 0 if the higher one is not known.
func (p *Planner) endSuperseded(reason string, epoch uint64) {
	if !p.superseded {
		p.cfg.Log.WithField("higher_epoch", epoch).Warn("planner superseded: " + reason)
	}
	p.superseded = true
	p.supersedingEpoch.Store(max(epoch, p.cfg.Epoch+1))
}

// endIfOutranked ends the term if a job's record names a higher epoch, and
// reports whether it did.
func (p *Planner) endIfOutranked(r jobs.Stored) bool {
	if r.Epoch <= p.cfg.Epoch {
		return false
	}
	p.endSuperseded("a job record names a higher epoch", r.Epoch)
	return true
}

// SupersedingEpoch returns an epoch above this planner's own by which it was
// superseded, or 0 if it was not. If no planner has that epoch, as after the
// store was restored from a backup, the next term has to get a higher one.
func (p *Planner) SupersedingEpoch() uint64 { return p.supersedingEpoch.Load() }

// context returns a context that ends with the term or after the timeout.
func (p *Planner) context(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(p.tomb.Context(context.Background()), timeout)
}
