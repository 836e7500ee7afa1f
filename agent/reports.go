package agent

import (
	"context"
	"slices"
	"sync"
	"time"

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

// reports announces the agent to the entries. There is no list of targets
// anywhere: an entry knows the agents that report to it. The entries are those
// of the settings and those that entries name in their answers.
type reports struct {
	a *Agent

	mu       sync.Mutex
	reporter *membership.Reporter
	state    wire.AgentReport
	stamp    gang.Stamp
	inGang   bool                  // a task of several members runs here
	entries  map[string]*entryLink // by address
}

// entryLink is the loop that reports to one entry.
type entryLink struct {
	addr  string
	seed  bool
	known uint64 // digest of the last answer with content
	sent  time.Time
	kick  chan struct{}
}

func newReports(a *Agent) *reports {
	cfg := a.cfg
	return &reports{
		a:       a,
		entries: make(map[string]*entryLink),
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
		},
	}
}

// start announces the agent to the entries of its settings.
func (r *reports) start() {
	cfg := r.a.cfg
	every := membership.ReporterConfig{Every: cfg.ReportEvery.Duration, Coalesce: reportCoalesce}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Address = r.a.ep.Addr()
	r.reporter = membership.NewReporter(every, r.state, random)
	for _, addr := range cfg.Seeds {
		r.add(addr, true)
	}
}

// add is called with the lock held.
func (r *reports) add(addr string, seed bool) {
	if r.entries[addr] != nil || len(r.entries) >= maxEntries {
		return
	}
	link := &entryLink{addr: addr, seed: seed, kick: make(chan struct{}, 1)}
	r.entries[addr] = link
	r.a.t.Go(func() error { return r.loop(link) })
}

// set changes the reported state and wakes all loops.
func (r *reports) set(change func(s *wire.AgentReport)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.state)
	if r.reporter == nil {
		return // not announced yet
	}
	r.reporter.Set(time.Now(), r.state)
	for _, link := range r.entries {
		link.wake()
	}
}

func (l *entryLink) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

func (r *reports) tasks(tasks []gang.Task, fence uint64, stamp gang.Stamp) {
	r.mu.Lock()
	r.stamp = stamp
	r.inGang = slices.ContainsFunc(tasks, func(t gang.Task) bool {
		return t.Members > 1 && t.State == gang.StateRunning
	})
	r.mu.Unlock()
	r.set(func(s *wire.AgentReport) {
		s.Tasks = tasks
		s.Fence = fence
	})
}

func (r *reports) generations() {
	r.set(func(s *wire.AgentReport) { s.Generations = r.a.docs.Generations() })
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
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.a.t.Dying():
			return nil
		case <-timer.C:
		case <-link.kick:
		}
		if wait := r.untilDue(link); wait > 0 {
			timer.Reset(wait)
			continue
		}
		if !r.report(link) {
			return nil
		}
		timer.Reset(r.untilDue(link))
	}
}

func (r *reports) untilDue(link *entryLink) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	wait := r.reporter.Due(now, link.addr).Sub(now)
	if r.inGang {
		wait = min(wait, gangReportEvery-now.Sub(link.sent))
	}
	return wait
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
			_, _ = c.Call(ctx, &wire.Gang{Payload: encodeGangReply(reply).Payload})
			return nil
		}
		return nil
	})
}
