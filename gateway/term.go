package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/records"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/wire"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

const (
	// tickEvery lets time pass in the engine.
	tickEvery = 50 * time.Millisecond
	// recordWait is how long the answer to a report waits for the report's ends to be
	// on record, so that the worker may forget them at once.
	recordWait = 250 * time.Millisecond
	// inboxSize bounds the events that wait for the engine.
	inboxSize = 4096
	// ordersTimeout bounds one set of orders to an agent: its attempts and a margin.
	ordersTimeout = 1500 * time.Millisecond
	// writeRetry is the pause after a write that failed, which grows to writeRetryMost:
	// every call is paid for, also one that a store in an outage refuses.
	writeRetry     = 50 * time.Millisecond
	writeRetryMost = 250 * time.Millisecond
	// mostChanges is how many records one write carries; see platform.MaxSwaps.
	mostChanges = 15
)

// term is one holding of the planner's duty. Its loop goroutine owns the engine.
type term struct {
	g     *Gateway
	log   logrus.FieldLogger
	epoch uint64
	tomb  tomb.Tomb
	inbox chan func(now time.Duration)
	// frozen: the duty was lost; nothing is ordered or granted any more, and the state
	// is only shown where no newer planner is known.
	frozen atomic.Bool
	loaded atomic.Bool
	// frozenAt is when the duty's lease lapsed, on the boot clock; 0 where it did not.
	frozenAt atomic.Int64

	engine *engine.Engine
	ledger *records.Ledger

	mu       sync.Mutex
	conns    map[string]*wire.Conn // by agent
	recorded chan struct{}         // closed after each write
	idle     bool                  // nothing is left to write
	counts   atomic.Pointer[map[string]int]
}

func newTerm(g *Gateway, epoch uint64) *term {
	t := &term{
		g:        g,
		log:      g.log.WithField("epoch", epoch),
		epoch:    epoch,
		inbox:    make(chan func(time.Duration), inboxSize),
		engine:   engine.New(g.cfg.Engine, epoch, lease.BootTime(), g.outage.inherited(lease.BootTime())),
		conns:    map[string]*wire.Conn{},
		recorded: make(chan struct{}),
	}
	g.counts.Terms.Add(1)
	t.tomb.Go(t.run)
	return t
}

// active says whether this term may still decide: the duty's lease, on a clock that
// runs during suspension, has not lapsed.
func (t *term) active() bool {
	if t.frozen.Load() || !t.loaded.Load() {
		return false
	}
	held, ok := t.g.duty.Current()
	return ok && held.Epoch == t.epoch
}

func (t *term) freeze() {
	if t.frozen.CompareAndSwap(false, true) {
		t.frozenAt.Store(int64(lease.BootTime()))
	}
}

// extending says whether the term, whose lease has lapsed, still grants what runs its
// time; see outage.
func (t *term) extending() bool {
	at := time.Duration(t.frozenAt.Load())
	if at == 0 || !t.loaded.Load() || !t.tomb.Alive() || t.g.stopping.Load() {
		return false
	}
	now := lease.BootTime()
	return now-at < extendMost && t.g.cfg.StoreAge() > servedFresh && t.g.outage.general(now, t.g.members.peers())
}

// end stops the term for good.
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
	t.log.WithFields(logrus.Fields{"jobs": len(state.Jobs), "workers": len(state.Workers), "revision": state.At}).Info("records read; planning")
	t.tomb.Go(func() error { return t.follow(state.At) })
	t.loop()
	t.tomb.Kill(nil) // nobody serves the inbox any more
	return nil
}

// load reads the records, until it succeeds or the duty is lost.
func (t *term) load() (records.State, bool) {
	ctx := t.tomb.Context(context.Background())
	for t.tomb.Alive() && !t.frozen.Load() {
		state, err := t.tryLoad(ctx)
		if err == nil {
			return state, true
		}
		t.log.WithError(err).Warn("records not read")
		t.pause(writeRetry)
	}
	return records.State{}, false
}

func (t *term) tryLoad(ctx context.Context) (records.State, error) {
	key := lease.EpochKey(dutyName)
	kv, ok, err := t.g.cfg.Store.Get(ctx, key)
	if err != nil {
		return records.State{}, err
	}
	if epoch, err := lease.ParseEpoch(kv.Value); !ok || err != nil || epoch != t.epoch {
		return records.State{}, records.ErrDeposed
	}
	t.ledger = records.OpenLedger(t.g.cfg.Store, store.Condition{Key: key, Revision: kv.Mod})
	return t.ledger.Load(ctx, time.Now())
}

func (t *term) restore(state records.State) {
	now := lease.BootTime()
	if view, ok := t.g.inForce.View(); ok {
		t.engine.Step(now, engine.CatalogChanged{Catalog: view.Catalog})
	}
	t.engine.Step(now, engine.Tick{Wall: time.Now()})
	for _, w := range state.Workers {
		t.engine.Step(now, engine.WorkerRestored{Info: w})
	}
	for _, j := range state.Jobs {
		t.engine.Step(now, j)
	}
}

// follow watches the intake. After a gap in the history it is listed again.
func (t *term) follow(at store.Revision) error {
	ctx := t.tomb.Context(context.Background())
	for t.tomb.Alive() {
		err := t.ledger.Follow(ctx, at, time.Now, t.post)
		if ctx.Err() != nil {
			return nil
		}
		t.log.WithError(err).Info("watch of the intake lost; listing again")
		state, err := records.OpenLedger(t.g.cfg.Store, store.Condition{}).Load(ctx, time.Now())
		if err != nil {
			t.pause(writeRetry)
			continue
		}
		at = state.At
		for _, j := range state.Jobs {
			t.post(j.Submitted)
			if j.Cancelled {
				t.post(engine.CancelRequested{Job: j.Job.ID, Order: j.CancelOrder})
			}
		}
	}
	return nil
}

func (t *term) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-t.tomb.Dying():
	}
}

// do runs f on the engine's goroutine. It returns false where the term has ended.
func (t *term) do(f func(now time.Duration)) bool {
	select {
	case t.inbox <- f:
		return true
	case <-t.tomb.Dying():
		return false
	}
}

func (t *term) post(ev engine.Event) {
	t.do(func(now time.Duration) { t.engine.Step(now, ev) })
}

func (t *term) configure(c *catalog.Catalog) { t.post(engine.CatalogChanged{Catalog: c}) }

// loop owns the engine.
func (t *term) loop() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	written := make(chan error, 1)
	var writing *engine.Write
	for {
		select {
		case f := <-t.inbox:
			f(lease.BootTime())
			t.drainInbox()
		case <-ticker.C:
			t.engine.Step(lease.BootTime(), engine.Tick{Wall: time.Now()})
		case err := <-written:
			if err != nil && isFinal(err) {
				t.deposed(err)
				return
			}
			if err != nil {
				// The lease has lapsed; what is decided no longer counts. The loop goes on
				// for reports, and writing stays set so that nothing is written.
				t.log.WithError(err).Warn("records not written; the duty's lease has lapsed")
				continue
			}
			t.engine.Step(lease.BootTime(), engine.Stored{Write: *writing})
			t.announceRecorded()
			writing = nil
		case <-t.tomb.Dying():
			return
		}
		t.act()
		if writing == nil {
			writing = t.write(written)
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

func (t *term) deposed(err error) {
	if t.tomb.Alive() {
		t.log.WithError(err).Warn("term ended")
	}
	t.freeze()
	t.g.duty.Yield(t.epoch)
}

// act carries out what the engine decided. A term whose lease has lapsed decides
// nothing any more.
func (t *term) act() {
	if !t.active() {
		return
	}
	counts := t.engine.Pending()
	t.counts.Store(&counts)
	for _, action := range t.engine.Decide(lease.BootTime()) {
		switch a := action.(type) {
		case engine.Orders:
			go t.send(a)
		case engine.Decided:
			t.logDecision(a)
		case engine.Began:
			t.g.waits.Observe(a.Account+"/"+a.Queue, a.Waited)
		case engine.Finished:
			t.g.completions.Observe(a.Account+"/"+a.Queue+"/"+string(a.State), a.Took)
		}
	}
}

func (t *term) logDecision(d engine.Decided) {
	fields := logrus.Fields{"job": d.Job}
	if d.Detail != "" {
		fields["detail"] = d.Detail
	}
	if d.Run.Number != 0 {
		fields["task"] = d.Run.Task.String()
		fields["run"] = d.Run.Number
	}
	if d.Worker != "" {
		fields["worker"] = d.Worker
	}
	t.log.WithFields(fields).Info(d.What)
}

// write begins to write what has changed, and returns nil where nothing has.
func (t *term) write(written chan<- error) *engine.Write {
	w := t.engine.Changes(lease.BootTime(), time.Now(), mostChanges)
	t.mu.Lock()
	t.idle = w.Empty()
	t.mu.Unlock()
	if w.Empty() || !t.active() {
		return nil
	}
	go func() { written <- t.writeUntilSettled(w) }()
	return &w
}

// writeUntilSettled repeats a write until its outcome is certain: what was lost on its
// way may take effect until then.
func (t *term) writeUntilSettled(w engine.Write) error {
	ctx := t.tomb.Context(context.Background())
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = writeRetry
	pause.MaxInterval = writeRetryMost
	for failures := 0; ; failures++ {
		t.g.counts.Writes.Add(1)
		err := t.ledger.Write(ctx, w)
		if err == nil && failures > 0 {
			t.log.WithField("failures", failures).Info("records are written again")
		}
		if err == nil || isFinal(err) || !t.tomb.Alive() || t.frozen.Load() {
			return err
		}
		t.g.counts.WriteFailures.Add(1)
		if failures == 0 {
			t.log.WithError(err).Warn("records not written")
		}
		t.pause(pause.NextBackOff())
	}
}

func (t *term) announceRecorded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.recorded)
	t.recorded = make(chan struct{})
}

// flush waits until everything decided is on record, or ctx ends.
func (t *term) flush(ctx context.Context) {
	for t.active() && ctx.Err() == nil {
		t.mu.Lock()
		idle := t.idle
		t.mu.Unlock()
		if idle {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// report handles an agent's report and fills in the reply.
func (t *term) report(ctx context.Context, from *wire.Conn, m *link.Report, reply *link.ReportReply) *link.ReportReply {
	verdicts := make(chan engine.Verdict, 1)
	var recorded <-chan struct{}
	ok := t.do(func(now time.Duration) {
		t.remember(m.Report.Worker.Agent, from)
		t.mu.Lock()
		recorded = t.recorded
		t.mu.Unlock()
		verdicts <- t.engine.Report(now, m.Report)
	})
	if !ok {
		return reply
	}
	var v engine.Verdict
	select {
	case v = <-verdicts:
	case <-ctx.Done():
		return reply
	}
	if v.Waiting && len(m.Report.Ended) > 0 {
		v.Seen, v.Waiting = t.awaitRecord(ctx, m.Report.Worker.ID, v, recorded)
	}
	if !t.active() && !t.extending() {
		return reply
	}
	reply.Epoch = t.epoch
	reply.Attached = v.Attached
	reply.Seen = v.Seen
	reply.Waiting = v.Waiting
	return reply
}

// awaitRecord waits until the ends of a worker are on record.
func (t *term) awaitRecord(ctx context.Context, id engine.WorkerID, v engine.Verdict, recorded <-chan struct{}) (int64, bool) {
	deadline := time.NewTimer(recordWait)
	defer deadline.Stop()
	for {
		select {
		case <-recorded:
		case <-deadline.C:
			return v.Seen, true
		case <-ctx.Done():
			return v.Seen, true
		}
		type answer struct {
			seen    int64
			waiting bool
		}
		answers := make(chan answer, 1)
		ok := t.do(func(time.Duration) {
			seen, waiting := t.engine.Seen(id)
			t.mu.Lock()
			recorded = t.recorded
			t.mu.Unlock()
			answers <- answer{seen, waiting}
		})
		if !ok {
			return v.Seen, true
		}
		a := <-answers
		v.Seen = a.seen
		if !a.waiting {
			return a.seen, false
		}
	}
}

func (t *term) remember(agent string, conn *wire.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[agent] = conn
}

// send gives orders to an agent over the connection on which it last reported.
func (t *term) send(o engine.Orders) {
	t.g.counts.Orders.Add(1)
	t.mu.Lock()
	conn := t.conns[o.Agent]
	t.mu.Unlock()
	outcome := engine.StartNotSent
	var results []engine.StartResult
	if conn != nil && t.active() {
		results, outcome = t.call(conn, o)
	}
	if results == nil {
		for _, s := range o.Starts {
			results = append(results, engine.StartResult{Run: s.Run, Outcome: outcome})
		}
	}
	if len(results) > 0 {
		t.post(engine.OrdersEnded{Worker: o.Worker, Starts: results})
	}
}

func (t *term) call(conn *wire.Conn, o engine.Orders) ([]engine.StartResult, engine.StartOutcome) {
	ctx, cancel := context.WithTimeout(t.tomb.Context(context.Background()), ordersTimeout)
	defer cancel()
	raw, err := conn.Call(ctx, &link.Orders{Epoch: t.epoch, Worker: o.Worker, Starts: o.Starts, Stops: o.Stops})
	if err != nil {
		if unsent(err) == link.OutcomeNotDone {
			return nil, engine.StartNotSent
		}
		return nil, engine.StartUnknown
	}
	reply, ok := raw.(*link.OrdersReply)
	if !ok {
		return nil, engine.StartUnknown
	}
	return reply.Starts, engine.StartOK
}

// lookup returns the state of a job as this term knows it.
func (t *term) lookup(id workload.JobID) (engine.Lookup, bool) {
	if !t.loaded.Load() {
		return engine.Lookup{}, false
	}
	type answer struct {
		found engine.Lookup
		ok    bool
	}
	answers := make(chan answer, 1)
	if !t.do(func(time.Duration) {
		found, ok := t.engine.Lookup(id)
		answers <- answer{found, ok}
	}) {
		return engine.Lookup{}, false
	}
	select {
	case a := <-answers:
		return a.found, a.ok
	case <-t.tomb.Dying():
		return engine.Lookup{}, false
	}
}

func (t *term) pending() map[string]int {
	if counts := t.counts.Load(); counts != nil {
		return *counts
	}
	return nil
}
