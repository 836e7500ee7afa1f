package entry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/membership"
	"github.com/eelgrasshub/eelgrasshub/routing"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// memberTickInterval is how often agents that have stopped reporting are looked for.
const memberTickInterval = time.Second

// members handles the agents' reports: it maintains the membership table and passes
// changes to routers and planners. It is safe for concurrent use.
type members struct {
	entry *Entry

	mu               sync.Mutex // serializes table.Step and guards the maps below
	table            *membership.Table
	sending          map[string]bool      // agents to which documents are being sent
	serviceOf        map[string]string    // service of each agent in the snapshot, by agent id
	generationSeenAt map[string]time.Time // when an agent's current generation was first reported
	lastRelay        map[string]string    // relay that sent an agent's last report, by agent id

	relays     *relays
	duplicates *duplicates
}

func newMembers(e *Entry) *members {
	return &members{
		entry:            e,
		table:            membership.NewTable(membership.Config{ReportPeriod: e.cfg.ReportPeriod.Duration}),
		sending:          make(map[string]bool),
		serviceOf:        make(map[string]string),
		generationSeenAt: make(map[string]time.Time),
		lastRelay:        make(map[string]string),
		relays:           newRelays(e.cfg.RelayThreshold),
		duplicates:       newDuplicates(e.log),
	}
}

// handleReport handles a batch of reports sent by one agent: its own, and those that it
// relays.
func (m *members) handleReport(sender, senderAddr string, r *wire.Report) *wire.ReportAck {
	receivedAt := clock.Now()
	actions := m.step(time.Now(), membership.Reports{Batch: r.Reports})
	m.applyActions(actions)
	m.recordRelays(sender, r.Reports)
	m.duplicates.warn(senderAddr, actions, m.find)

	ack := m.entry.newReportAck(r.KnownDigest, m.relayInfoFor(sender))
	membership.FillAck(ack, actions)
	for _, report := range r.Reports {
		member := m.find(report.ID)
		if member == nil {
			continue
		}
		m.informPlanner(member, report, receivedAt, ack, report.ID != sender)
		m.sendMissingDocument(member)
	}
	return ack
}

func (m *members) relayInfoFor(sender string) wire.RelayInfo {
	if member := m.find(sender); member != nil {
		return m.relays.relayOf(member)
	}
	return wire.RelayInfo{}
}

// recordRelays records which agent sent each report.
func (m *members) recordRelays(sender string, batch []wire.AgentReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, report := range batch {
		if report.ID == sender {
			delete(m.lastRelay, report.ID)
		} else if m.serviceOf[report.ID] != "" {
			m.lastRelay[report.ID] = sender
		}
	}
}

// isRelayed reports whether the agent's last report came through a relay that is still
// alive.
func (m *members) isRelayed(id string) bool {
	relayID := m.lastRelayOf(id)
	if relayID == "" {
		return false
	}
	relay := m.find(relayID)
	return relay != nil && relay.State == membership.Alive
}

// lastRelayOf returns the relay that sent an agent's last report, or "" if the agent sent
// it itself.
func (m *members) lastRelayOf(id string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastRelay[id]
}

// step passes an event to the table. serviceOf is updated under the same lock, in the
// order of the table's changes: otherwise a delayed Lost could remove an agent that has
// joined again, and find would miss it.
func (m *members) step(now time.Time, ev membership.Event) []membership.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	actions := m.table.Step(now, ev)
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Joined:
			m.serviceOf[a.Member.Report.ID] = a.Member.Report.Service
		case membership.Changed:
			m.serviceOf[a.Member.Report.ID] = a.Member.Report.Service
		case membership.Lost:
			m.dropLocked(a.Member.Report.ID)
		case membership.Left:
			m.dropLocked(a.Member.Report.ID)
		}
	}
	return actions
}

// dropLocked removes what is kept about an agent. The caller holds m.mu.
func (m *members) dropLocked(id string) {
	delete(m.serviceOf, id)
	delete(m.lastRelay, id)
}

// applyActions passes changes to agent connections, routers and planners.
func (m *members) applyActions(actions []membership.Action) {
	services := make(map[string]bool)
	for _, a := range actions {
		member := changedMember(a)
		if member == nil {
			continue
		}
		services[member.Report.Service] = true
		m.applyAction(a, member)
	}
	for s := range services {
		m.updateRouter(s)
	}
}

func changedMember(a membership.Action) *membership.Member {
	switch a := a.(type) {
	case membership.Joined:
		return a.Member
	case membership.Changed:
		if a.Groups&^wire.ChangedLoad == 0 {
			return nil // load reaches the routers with each reply
		}
		return a.Member
	case membership.Suspected:
		return a.Member
	case membership.Recovered:
		return a.Member
	case membership.Lost:
		return a.Member
	case membership.Left:
		return a.Member
	}
	return nil
}

func (m *members) applyAction(a membership.Action, member *membership.Member) {
	id := member.Report.ID
	m.recordGeneration(a, id)
	switch a.(type) {
	case membership.Left:
		m.entry.agents.remove(id, member.Report.Incarnation)
		if p := m.entry.elections.planner(member.Report.Service); p != nil {
			p.HandleAgentLeft(id, member.Report.Incarnation)
		}
	case membership.Lost:
		m.entry.agents.remove(id, member.Report.Incarnation)
	case membership.Joined, membership.Changed:
		m.entry.agents.setAddr(id, member.Report.Incarnation, member.Report.Address)
	case membership.Suspected:
		m.entry.dispatcher(member.Report.Service).router.ProbeFailed(time.Now(), routing.TargetID(id))
	case membership.Recovered:
		m.entry.dispatcher(member.Report.Service).router.ProbeSucceeded(time.Now(), routing.TargetID(id))
	}
}

func (m *members) recordGeneration(a membership.Action, id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch a := a.(type) {
	case membership.Joined:
		m.generationSeenAt[id] = time.Now()
	case membership.Changed:
		if a.Groups&wire.ChangedGenerations != 0 {
			m.generationSeenAt[id] = time.Now()
		}
	case membership.Lost, membership.Left:
		delete(m.generationSeenAt, id)
	}
}

// count returns how many agents are in the table, including those that have left.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Len()
}

func (m *members) generationSince(id string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.generationSeenAt[id]
}

// updateRouter passes the targets of a service to its router. The table publishes its
// snapshot at once for any change that stops new work.
func (m *members) updateRouter(service string) {
	snapshot := m.table.Snapshot()
	view := snapshot.Service(service)
	targets := make([]routing.Target, 0, len(view.Members))
	maxInFlight := m.entry.maxInFlight(service)
	for _, member := range view.Members {
		r := &member.Report
		targets = append(targets, routing.Target{
			ID:          routing.TargetID(r.ID),
			Zone:        r.Zone,
			Slots:       r.Slots,
			MaxInflight: min(r.Connections, maxInFlight),
			Draining:    !member.Schedulable(),
			Incarnation: r.Incarnation,
		})
	}
	m.entry.dispatcher(service).setTargets(snapshot.Version, targets)
}

func (m *members) find(id string) *membership.Member {
	m.mu.Lock()
	service, ok := m.serviceOf[id]
	m.mu.Unlock()
	if !ok {
		return nil
	}
	return m.table.Snapshot().Service(service).Find(id)
}

// run periodically advances the table, the choice of relays and the closing of idle
// connections until the entry stops.
func (m *members) run() error {
	ticker := time.NewTicker(memberTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.entry.tomb.Dying():
			return nil
		case now := <-ticker.C:
			m.applyActions(m.step(now, membership.Tick{}))
			m.relays.update(m.table.Snapshot())
			m.entry.agents.closeIdle(now)
		}
	}
}

// ackDigest returns a digest of an ack's content, which lets the entry omit what the
// agent already has.
func ackDigest(ack *wire.ReportAck) uint64 {
	data, err := cbor.Marshal(ack)
	if err != nil {
		panic("entry: report ack can't be encoded: " + err.Error())
	}
	return xxhash.Sum64(data)
}
