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

// memberTick is the period in which silent agents are looked for.
const memberTick = time.Second

// members takes the agents' reports: it keeps the membership table, and hands
// what changed to the routers and planners. It is safe for concurrent use.
type members struct {
	e *Entry

	mu      sync.Mutex // owns the table's Step, and sending
	table   *membership.Table
	sending map[string]bool      // agents to which documents are on their way
	homes   map[string]string    // service of each agent in the snapshot, by id
	since   map[string]time.Time // when an agent's generation was first heard of
	via     map[string]string    // relay by which an agent's last report came, by id

	relays *relays
}

func newMembers(e *Entry) *members {
	return &members{
		e:       e,
		table:   membership.NewTable(membership.Config{ReportPeriod: e.cfg.ReportEvery.Duration}),
		sending: make(map[string]bool),
		homes:   make(map[string]string),
		since:   make(map[string]time.Time),
		via:     make(map[string]string),
		relays:  newRelays(e.cfg.RelayAbove),
	}
}

// report answers a batch of reports that the agent with the id sent: its own, and
// those that it relays.
func (m *members) report(sender string, r *wire.Report) *wire.ReportAck {
	now := clock.Now()
	actions := m.step(time.Now(), membership.Reports{Batch: r.Reports})
	m.apply(actions)
	m.noteWay(sender, r.Reports)

	ack := m.e.answer(r.KnownDigest, m.relayFor(sender))
	membership.FillAck(ack, actions)
	for _, one := range r.Reports {
		member := m.find(one.ID)
		if member == nil {
			continue
		}
		m.observe(member, one, now, ack, one.ID != sender)
		m.offerDocuments(member)
	}
	return ack
}

func (m *members) relayFor(sender string) wire.RelayInfo {
	if member := m.find(sender); member != nil {
		return m.relays.of(member)
	}
	return wire.RelayInfo{}
}

// noteWay notes who sent the agents' reports.
func (m *members) noteWay(sender string, batch []wire.AgentReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, one := range batch {
		if one.ID == sender {
			delete(m.via, one.ID)
		} else if m.homes[one.ID] != "" {
			m.via[one.ID] = sender
		}
	}
}

// relayed says whether the agent's last report came by another one that is
// there still.
func (m *members) relayed(id string) bool {
	via := m.relayOf(id)
	if via == "" {
		return false
	}
	relay := m.find(via)
	return relay != nil && relay.State == membership.Alive
}

// relayOf returns the agent that sent the last report of another one; empty: it
// reported itself.
func (m *members) relayOf(id string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.via[id]
}

// step gives the table an event. The homes change under the same lock, in the
// order of the table's own changes: noted later, a Lost that is overtaken by the
// Joined after it would leave a member that can't be found.
func (m *members) step(now time.Time, ev membership.Event) []membership.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	actions := m.table.Step(now, ev)
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Joined:
			m.homes[a.Member.Report.ID] = a.Member.Report.Service
		case membership.Changed:
			m.homes[a.Member.Report.ID] = a.Member.Report.Service
		case membership.Lost:
			m.drop(a.Member.Report.ID)
		case membership.Left:
			m.drop(a.Member.Report.ID)
		}
	}
	return actions
}

// drop is called with the lock held.
func (m *members) drop(id string) {
	delete(m.homes, id)
	delete(m.via, id)
}

// apply hands on what changed.
func (m *members) apply(actions []membership.Action) {
	services := make(map[string]bool)
	for _, a := range actions {
		member := memberOf(a)
		if member == nil {
			continue
		}
		services[member.Report.Service] = true
		m.place(a, member)
	}
	for s := range services {
		m.route(s)
	}
}

func memberOf(a membership.Action) *membership.Member {
	switch a := a.(type) {
	case membership.Joined:
		return a.Member
	case membership.Changed:
		if a.Groups&^wire.ChangedLoad == 0 {
			return nil // load reaches the routers with each answer
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

func (m *members) place(a membership.Action, member *membership.Member) {
	id := member.Report.ID
	m.noteGeneration(a, id)
	switch a.(type) {
	case membership.Left:
		m.e.agents.forget(id)
		if p := m.e.duties.planner(member.Report.Service); p != nil {
			p.HandleAgentLeft(id)
		}
	case membership.Joined, membership.Changed:
		m.e.agents.place(id, member.Report.Address)
	case membership.Suspected:
		m.e.dispatcher(member.Report.Service).router.Suspect(time.Now(), routing.TargetID(id))
	case membership.Recovered:
		m.e.dispatcher(member.Report.Service).router.Heard(time.Now(), routing.TargetID(id))
	}
}

func (m *members) noteGeneration(a membership.Action, id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch a := a.(type) {
	case membership.Joined:
		m.since[id] = time.Now()
	case membership.Changed:
		if a.Groups&wire.ChangedGenerations != 0 {
			m.since[id] = time.Now()
		}
	case membership.Lost, membership.Left:
		delete(m.since, id)
	}
}

// count returns how many agents are remembered, those that have left included.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Len()
}

func (m *members) generationSince(id string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.since[id]
}

// route hands the targets of a service to its router. The snapshot is published
// at once for whatever stops new work.
func (m *members) route(service string) {
	view := m.table.Snapshot().Service(service)
	targets := make([]routing.Target, 0, len(view.Members))
	most := m.e.maxInFlight(service)
	for _, member := range view.Members {
		r := &member.Report
		targets = append(targets, routing.Target{
			ID:          routing.TargetID(r.ID),
			Zone:        r.Zone,
			Slots:       r.Slots,
			Connections: min(r.Connections, most),
			Draining:    !member.Schedulable(),
			Incarnation: r.Incarnation,
		})
	}
	m.e.dispatcher(service).setTargets(targets)
}

func (m *members) find(id string) *membership.Member {
	m.mu.Lock()
	service, ok := m.homes[id]
	m.mu.Unlock()
	if !ok {
		return nil
	}
	return m.table.Snapshot().Service(service).Find(id)
}

// tick lets time pass for the table, the choice of relays and the connections
// until the entry stops.
func (m *members) tick() error {
	ticker := time.NewTicker(memberTick)
	defer ticker.Stop()
	for {
		select {
		case <-m.e.t.Dying():
			return nil
		case now := <-ticker.C:
			m.apply(m.step(now, membership.Tick{}))
			m.relays.choose(m.table.Snapshot())
			m.e.agents.sweep(now)
		}
	}
}

// digestOf marks the content of an answer, so that it is not repeated.
func digestOf(ack *wire.ReportAck) uint64 {
	data, err := cbor.Marshal(ack)
	if err != nil {
		panic("entry: a report answer can't be encoded: " + err.Error())
	}
	return xxhash.Sum64(data)
}
