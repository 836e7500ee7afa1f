package agent

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/membership"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

const (
	// reportTimeout bounds one report; its failure shows a silent path.
	reportTimeout = time.Second
	// gangReportEvery is the longest period of reports while a task of several
	// members runs: its gang counts as whole by them, and stops without.
	gangReportEvery = time.Second
	// maxEntries bounds the entries an agent reports to.
	maxEntries = 16
)

// reports announces the agent to the entries, by itself or by the relay of its
// rack, and relays the reports of others. There is no list of targets anywhere:
// an entry knows the agents that report to it. The entries are those of the
// settings and those that entries name in their answers. It is safe for
// concurrent use.
type reports struct {
	a *Agent

	mu        sync.Mutex
	announcer *membership.ReportRouter // nil until the agent is announced
	state     wire.AgentReport
	stamp     gang.PlannerTimestamp
	entries   map[string]*entryLink // by address
	relay     *relayLink
	sending   map[string]bool // members to which a document is on its way
}

// entryLink is the loop that reports to one entry.
type entryLink struct {
	addr string
	seed bool
	kick chan struct{}
}

func newReports(a *Agent) *reports {
	cfg := a.cfg
	return &reports{
		a:       a,
		entries: make(map[string]*entryLink),
		relay:   &relayLink{kick: make(chan struct{}, 1)},
		sending: make(map[string]bool),
		state: wire.AgentReport{
			ID:           cfg.ID,
			Incarnation:  a.incarnation,
			Service:      cfg.Service,
			Region:       cfg.Region,
			Zone:         cfg.Zone,
			Rack:         cfg.Rack,
			Accelerators: cfg.Accelerators,
			Slots:        cfg.Slots,
			Connections:  cfg.Connections,
			Cores:        cfg.Cores,
			MemoryMB:     cfg.MemoryMB,
			CanRelay:     true,
		},
	}
}

// start announces the agent to the entries of its settings.
func (r *reports) start() {
	cfg := membership.ReportRouterConfig{
		ReporterConfig:   membership.ReporterConfig{Period: r.a.cfg.ReportPeriod.Duration, Coalesce: reportCoalesce},
		GangReportPeriod: gangReportEvery,
		MaxEntries:       maxEntries,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Address = r.a.ep.Addr()
	r.announcer = membership.NewReportRouter(cfg, r.state, random)
	for _, addr := range r.a.cfg.Seeds {
		if r.announcer.AddEntry(addr) {
			r.begin(addr, true)
		}
	}
	r.a.t.Go(r.relayLoop)
	r.a.t.Go(r.tick)
}

// begin starts the reports to an entry. It is called with the lock held.
func (r *reports) begin(addr string, seed bool) {
	link := &entryLink{addr: addr, seed: seed, kick: make(chan struct{}, 1)}
	r.entries[addr] = link
	r.a.t.Go(func() error { return r.loop(link) })
}

// set changes the reported state and wakes all loops.
func (r *reports) set(change func(s *wire.AgentReport)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.state)
	if r.announcer == nil {
		return // not announced yet
	}
	r.announcer.SetTimestamp(r.stamp)
	r.announcer.SetState(clock.Now(), r.state)
	r.wake()
}

// wake is called with the lock held.
func (r *reports) wake() {
	for _, link := range r.entries {
		kick(link.kick)
	}
	kick(r.relay.kick)
}

func kick(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (r *reports) tasks(tasks []gang.Task, fence uint64, stamp gang.PlannerTimestamp) {
	r.mu.Lock()
	r.stamp = stamp
	r.mu.Unlock()
	r.set(func(s *wire.AgentReport) {
		s.Tasks = tasks
		s.FencingEpoch = fence
	})
}

func (r *reports) generations() {
	r.set(func(s *wire.AgentReport) { s.Generations = r.a.docs.Summaries() })
}

func (r *reports) drain() {
	r.set(func(s *wire.AgentReport) { s.Draining = true })
}

// load is taken into the state just before a report.
func (r *reports) load() wire.Load {
	running, queued := r.a.quick.gate.depth()
	return wire.Load{Running: running, Queued: queued}
}

func (r *reports) loop(link *entryLink) error {
	due := func() time.Duration { return r.untilDue(link) }
	return r.repeat(0, link.kick, due, func() bool { return r.report(link) })
}

// repeat reports first after a wait, and then whenever it is due: as due says, which
// is asked again after each report and each kick. It ends with the agent, or when
// report returns false.
func (r *reports) repeat(first time.Duration, kick <-chan struct{}, due func() time.Duration, report func() bool) error {
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case <-r.a.t.Dying():
			return nil
		case <-timer.C:
		case <-kick:
		}
		if wait := due(); wait > 0 {
			timer.Reset(wait)
			continue
		}
		if !report() {
			return nil
		}
		timer.Reset(due())
	}
}

func (r *reports) untilDue(link *entryLink) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	due := r.announcer.Due(now, link.addr)
	if r.announcer.ConnectionIdle(now, link.addr) {
		r.release(link.addr)
	}
	return due.Sub(now)
}

// release closes a connection that is not used any more. What the entry still
// waits for on it ends first.
func (r *reports) release(addr string) {
	r.a.t.Go(func() error {
		_ = r.a.pool.Drain(r.a.t.Context(context.Background()), addr) // the agent ends
		return nil
	})
}

// tickEvery is the period in which members that went silent are dropped.
const tickEvery = time.Second

func (r *reports) tick() error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-r.a.t.Dying():
			return nil
		case <-ticker.C:
			r.mu.Lock()
			r.announcer.Tick(clock.Now())
			r.mu.Unlock()
		}
	}
}

// pushReply sends a gang reply that no message asked for to the entry that
// planned the attempt. A lost one is made up for by the next report.
func (a *Agent) pushReply(to string, reply gang.Reply) {
	a.t.Go(func() error {
		for _, c := range a.ep.Conns() {
			if c.Peer().ID != to || !c.Usable() {
				continue
			}
			ctx, cancel := context.WithTimeout(a.t.Context(context.Background()), reportTimeout)
			defer cancel()
			_, _ = c.Call(ctx, &wire.GangMessage{Payload: encodeGangReply(reply).Payload})
			return nil
		}
		return nil
	})
}
