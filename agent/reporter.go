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
	// reportTimeout bounds the wait for the answer to one report.
	reportTimeout = time.Second
	// gangReportPeriod is the longest period of reports while a task of several
	// members runs. The answers renew the task's attempt; without them it stops.
	gangReportPeriod = time.Second
	// maxEntries bounds the number of entries an agent reports to.
	maxEntries = 16
)

// reporter reports the agent to the entries, directly or through the relay of its rack,
// and relays the reports of other agents. Entries learn of agents only by these reports.
// An agent reports to the entries in its settings and to those that entries and relays
// name in their answers. It is safe for concurrent use.
type reporter struct {
	agent *Agent

	mu               sync.Mutex
	router           *membership.ReportRouter // nil until start
	ownReport        wire.AgentReport
	plannerTimestamp gang.PlannerTimestamp
	entries          map[string]*entryLoop // by address
	relayLoop        *relayLoop
	sendingDocuments map[string]bool // IDs of members to which a document is being sent
	newerIncarnation uint64          // of a later process under this agent's ID, if one is known
}

// entryLoop is the state of the loop that reports to one entry.
type entryLoop struct {
	address string
	isSeed  bool
	wake    chan struct{}
}

func newReporter(a *Agent) *reporter {
	cfg := a.cfg
	return &reporter{
		agent:            a,
		entries:          make(map[string]*entryLoop),
		relayLoop:        &relayLoop{wake: make(chan struct{}, 1)},
		sendingDocuments: make(map[string]bool),
		ownReport: wire.AgentReport{
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

// start starts the reports to the seed entries and to the relay.
func (r *reporter) start() {
	cfg := membership.ReportRouterConfig{
		ReporterConfig:   membership.ReporterConfig{Period: r.agent.cfg.ReportPeriod.Duration, Coalesce: reportCoalesceDelay},
		GangReportPeriod: gangReportPeriod,
		MaxEntries:       maxEntries,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownReport.Address = r.agent.endpoint.Addr()
	r.router = membership.NewReportRouter(cfg, r.ownReport, reportJitter)
	for _, addr := range r.agent.cfg.Seeds {
		if r.router.AddEntry(addr) {
			r.startEntryLoop(addr, true)
		}
	}
	r.agent.tomb.Go(r.runRelayLoop)
	r.agent.tomb.Go(r.runTicker)
}

// startEntryLoop starts the loop that reports to an entry. The caller holds the lock.
func (r *reporter) startEntryLoop(addr string, isSeed bool) {
	entry := &entryLoop{address: addr, isSeed: isSeed, wake: make(chan struct{}, 1)}
	r.entries[addr] = entry
	r.agent.tomb.Go(func() error { return r.runEntryLoop(entry) })
}

// updateState changes the reported state and wakes all loops.
func (r *reporter) updateState(change func(s *wire.AgentReport)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.ownReport)
	if r.router == nil {
		return // not started yet
	}
	r.router.SetTimestamp(r.plannerTimestamp)
	r.router.SetState(clock.Now(), r.ownReport)
	r.wakeAll()
}

// wakeAll wakes all loops. The caller holds the lock.
func (r *reporter) wakeAll() {
	for _, entry := range r.entries {
		signal(entry.wake)
	}
	signal(r.relayLoop.wake)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (r *reporter) setTasks(tasks []gang.Task, fencingEpoch uint64, timestamp gang.PlannerTimestamp) {
	r.mu.Lock()
	r.plannerTimestamp = timestamp
	r.mu.Unlock()
	r.updateState(func(s *wire.AgentReport) {
		s.Tasks = tasks
		s.FencingEpoch = fencingEpoch
	})
}

func (r *reporter) updateGenerations() {
	r.updateState(func(s *wire.AgentReport) { s.Generations = r.agent.documents.Summaries() })
}

func (r *reporter) setDraining() {
	r.updateState(func(s *wire.AgentReport) { s.Draining = true })
}

// noteNewer logs that a later process runs under this agent's ID. Entries ignore this one
// then. The caller holds the lock.
func (r *reporter) noteNewer(ack *wire.ReportAck) {
	for _, newer := range ack.NewerIncarnations {
		if newer.ID == r.ownReport.ID && newer.Incarnation > max(r.newerIncarnation, r.ownReport.Incarnation) {
			r.newerIncarnation = newer.Incarnation
			r.agent.log.WithField("incarnation", newer.Incarnation).Error("a later process reports under this agent's id: this one gets no work")
		}
	}
}

// currentLoad returns the load for the next report.
func (r *reporter) currentLoad() wire.Load {
	running, queued := r.agent.quickExecutor.gate.depth()
	return wire.Load{Running: running, Queued: queued}
}

func (r *reporter) runEntryLoop(entry *entryLoop) error {
	untilDue := func() time.Duration { return r.untilEntryDue(entry) }
	return r.runReportLoop(0, entry.wake, untilDue, func() bool { return r.reportToEntry(entry) })
}

// runReportLoop waits for initialWait or a wake-up, then calls report whenever it is due.
// It calls untilDue after each report and each wake-up. It ends when the agent stops or
// report returns false.
func (r *reporter) runReportLoop(initialWait time.Duration, wake <-chan struct{}, untilDue func() time.Duration, report func() bool) error {
	timer := time.NewTimer(initialWait)
	defer timer.Stop()
	for {
		select {
		case <-r.agent.tomb.Dying():
			return nil
		case <-timer.C:
		case <-wake:
		}
		if wait := untilDue(); wait > 0 {
			timer.Reset(wait)
			continue
		}
		if !report() {
			return nil
		}
		timer.Reset(untilDue())
	}
}

func (r *reporter) untilEntryDue(entry *entryLoop) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	due := r.router.Due(now, entry.address)
	if r.router.ConnectionIdle(now, entry.address) {
		r.drainConnection(entry.address)
	}
	return due.Sub(now)
}

// drainConnection closes an unused connection once the calls in progress on it have
// ended.
func (r *reporter) drainConnection(addr string) {
	r.agent.tomb.Go(func() error {
		_ = r.agent.pool.Drain(r.agent.tomb.Context(context.Background()), addr) // fails only when the agent stops
		return nil
	})
}

// tickPeriod is the interval at which the relay drops unresponsive members, and the
// wait of the relay loop while there is no relay.
const tickPeriod = time.Second

func (r *reporter) runTicker() error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-r.agent.tomb.Dying():
			return nil
		case <-ticker.C:
			r.mu.Lock()
			r.router.Tick(clock.Now())
			r.mu.Unlock()
		}
	}
}

// pushReply sends a gang reply that does not answer a message to the entry that planned
// the attempt. If it is lost, the next report conveys the same state.
func (a *Agent) pushReply(to string, reply gang.Reply) {
	a.tomb.Go(func() error {
		for _, c := range a.endpoint.Conns() {
			if c.Peer().ID != to || !c.Usable() {
				continue
			}
			ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), reportTimeout)
			defer cancel()
			_, _ = c.Call(ctx, &wire.GangMessage{Payload: encodeGangReply(reply).Payload})
			return nil
		}
		return nil
	})
}
