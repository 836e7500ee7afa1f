package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/records"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

const (
	// tickInterval is the interval of engine ticks.
	tickInterval = 50 * time.Millisecond
	// reportWriteWait bounds how long the reply to a report waits for the report's ended runs
	// to be written, so that the reply can acknowledge them.
	reportWriteWait = 250 * time.Millisecond
	// inboxSize is the capacity of the queue of engine events.
	inboxSize = 4096
	// ordersTimeout bounds one set of orders to an agent: its attempts and a margin.
	ordersTimeout = 1500 * time.Millisecond
	// writeRetryDelay is the pause after a failed write. It grows to maxWriteRetryDelay, since
	// each call loads the store even if it refuses the call.
	writeRetryDelay    = 50 * time.Millisecond
	maxWriteRetryDelay = 250 * time.Millisecond
	// maxRecordsPerWrite is the number of records in one write; see platform.MaxSwaps.
	maxRecordsPerWrite = 15
)

// term is one period in which this gateway holds the planner lease. Its loop goroutine owns the
// engine.
type term struct {
	g     *Gateway
	log   logrus.FieldLogger
	epoch uint64
	// startedAt is the time of the takeover, on the boot clock.
	startedAt time.Duration
	tomb      tomb.Tomb
	inbox     chan func(now time.Duration)
	// frozen is set when the lease is lost. No orders are sent any more, leases are granted
	// only under extendingGrants, and job states are served only while no newer planner is
	// known.
	frozen atomic.Bool
	loaded atomic.Bool
	// outcomesLoaded is set once the outcomes of jobs that ended under predecessors are loaded.
	outcomesLoaded atomic.Bool
	// frozenAt is when the lease was lost, on the boot clock; 0 if it is held. leaseEnd is when it
	// expires at the latest, as last seen.
	frozenAt atomic.Int64
	leaseEnd atomic.Int64

	engine *engine.Engine
	store  *records.PlannerStore

	mu        sync.Mutex
	conns     map[string]*wire.Conn // by agent
	probes    map[*wire.Conn]*agentProbe
	writeDone chan struct{} // closed after each write
	idle      bool          // nothing is left to write
}

func newTerm(g *Gateway, held lease.Leadership) *term {
	now := lease.BootTime()
	epoch := held.Epoch
	extension := g.predecessorExtension(now, epoch)
	t := &term{
		g:         g,
		log:       g.log.WithField("epoch", epoch),
		epoch:     epoch,
		startedAt: now,
		inbox:     make(chan func(time.Duration), inboxSize),
		engine:    engine.New(g.cfg.Engine, epoch, now, extension),
		conns:     map[string]*wire.Conn{},
		probes:    map[*wire.Conn]*agentProbe{},
		writeDone: make(chan struct{}),
	}
	t.noteLease(held)
	g.counters.Terms.Add(1)
	t.log.WithField("lease_extension_ms", extension.Milliseconds()).Info("planner term started; leases of the previous planner may last longer by the extension")
	t.tomb.Go(t.run)
	return t
}

// active reports whether this term may still make decisions: its records are loaded and its
// lease has not expired, on a clock that includes suspension.
func (t *term) active() bool {
	if t.frozen.Load() || !t.loaded.Load() {
		return false
	}
	held, ok := t.g.plannerLease.Current()
	if !ok || held.Epoch != t.epoch {
		return false
	}
	t.noteLease(held)
	return true
}

func (t *term) noteLease(held lease.Leadership) { t.leaseEnd.Store(int64(held.ValidUntil)) }

// freeze notes that the lease was lost. A process that was suspended may notice long after its end.
func (t *term) freeze() {
	if t.frozen.CompareAndSwap(false, true) {
		t.frozenAt.Store(min(int64(lease.BootTime()), t.leaseEnd.Load()))
	}
}

// extendingGrants reports whether the term, whose lease has expired, still grants worker leases
// during a store outage; see storeStatus.
func (t *term) extendingGrants() bool {
	at := time.Duration(t.frozenAt.Load())
	if at == 0 || !t.loaded.Load() || !t.tomb.Alive() || t.g.stopping.Load() {
		return false
	}
	return t.g.cfg.SinceStoreReply() > storeReplyTTL && t.g.mayExtendGrants(t.epoch, at)
}

// end stops the term permanently.
func (t *term) end() {
	t.freeze()
	t.tomb.Kill(nil)
}

func (t *term) run() error {
	state, ok := t.load()
	if !ok {
		return nil
	}
	t.restore(state)
	t.loaded.Store(true)
	t.log.WithFields(logrus.Fields{"jobs": len(state.Jobs), "workers": len(state.Workers), "revision": state.Revision}).Info("records loaded; planning started")
	t.tomb.Go(func() error { return t.watchSubmissions(state.Revision) })
	t.tomb.Go(t.loadOutcomes)
	t.loop()
	t.tomb.Kill(nil) // the inbox is not served any more
	return nil
}

func (t *term) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-t.tomb.Dying():
	}
}

// enqueue queues f for the engine's goroutine. It returns false if the term has ended.
func (t *term) enqueue(f func(now time.Duration)) bool {
	queuedAt := lease.BootTime()
	measured := func(now time.Duration) {
		t.g.queueDelays.Observe("engine", now-queuedAt)
		f(now)
	}
	select {
	case t.inbox <- measured:
		return true
	case <-t.tomb.Dying():
		return false
	}
}

func (t *term) postEvent(ev engine.Event) {
	t.enqueue(func(now time.Duration) { t.engine.Step(now, ev) })
}

func (t *term) updateCatalog(c *catalog.Catalog) { t.postEvent(engine.CatalogChanged{Catalog: c}) }

// loop runs the engine: it handles events, executes decisions and starts writes, one at a time.
func (t *term) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	replan := time.NewTimer(tickInterval)
	defer replan.Stop()
	writeErr := make(chan error, 1)
	var pending *engine.Write
	for {
		select {
		case f := <-t.inbox:
			f(lease.BootTime())
			t.drainInbox()
		case <-ticker.C:
			t.engine.Step(lease.BootTime(), engine.Tick{WallTime: time.Now(), StoreUnavailable: t.g.cfg.SinceStoreReply() > storeReplyTTL})
		case <-replan.C:
		case err := <-writeErr:
			if err != nil && isPermanent(err) {
				t.stepDown(err)
				return
			}
			if err != nil {
				// The lease has expired, so these decisions are void. The loop goes on to
				// answer reports; pending remains set so that nothing else is written.
				t.log.WithError(err).Warn("records not written; the planner lease has expired")
				continue
			}
			t.engine.Step(lease.BootTime(), engine.WriteApplied{Write: *pending})
			t.notifyWriteDone()
			pending = nil
		case <-t.tomb.Dying():
			return
		}
		t.executeActions()
		t.resetReplanTimer(replan)
		if pending == nil {
			pending = t.write(writeErr)
		}
	}
}

func (t *term) drainInbox() {
	for range inboxSize {
		select {
		case f := <-t.inbox:
			f(lease.BootTime())
		default:
			return
		}
	}
}
