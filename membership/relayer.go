package membership

import (
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Relayer is what a relay keeps: the members that report to it, and what each
// entry has been told of them. One goroutine owns it; now must not go back, and
// should run on during suspension: it tells entries how old a report is.
type Relayer struct {
	table             *Table
	entryStates       map[string]*entryState
	newerIncarnations map[string]wire.AgentSeen
}

// entryState is what one entry knows by this relay.
type entryState struct {
	cursor         Cursor
	fullReportsDue map[string]time.Time // full reports that are due then, by agent
}

// NewRelayer returns one without members.
func NewRelayer() *Relayer {
	return &Relayer{
		table: NewTable(Config{
			SuspectAfter: relayMemberTimeout,
			LostAfter:    relayMemberTimeout,
			ForgetAfter:  time.Minute,
			ReportPeriod: RelayHeartbeat,
			MaxMembers:   relayMaxMembers,
		}),
		entryStates:       make(map[string]*entryState),
		newerIncarnations: make(map[string]wire.AgentSeen),
	}
}

// HandleReport takes a member's report. It returns the answer, without the list of
// entries, and whether the report has news that should not wait for the relay's
// next report. A full report is such news even if nothing is new in it: the
// member reported itself until now, and entries last heard it a period ago.
func (r *Relayer) HandleReport(now time.Time, report wire.AgentReport) (*wire.ReportAck, bool) {
	actions := r.table.Step(now, Reports{Batch: []wire.AgentReport{report}})
	ack := &wire.ReportAck{}
	FillAck(ack, actions)
	if seen, ok := r.newerIncarnations[report.ID]; ok && seen.Incarnation > report.Incarnation {
		ack.Newer = append(ack.Newer, seen)
	}
	return ack, report.Full || slices.ContainsFunc(actions, isNews)
}

func isNews(a Action) bool {
	switch a := a.(type) {
	case Joined, Left:
		return true
	case Changed:
		return a.Groups&^wire.ChangedLoad != 0
	}
	return false
}

// Tick drops members that have not reported for long. Send one about every
// second.
func (r *Relayer) Tick(now time.Time) {
	for _, a := range r.table.Step(now, Tick{}) {
		if lost, ok := a.(Lost); ok {
			r.forgetMember(lost.Member.Report.ID)
		}
	}
}

func (r *Relayer) forgetMember(id string) {
	delete(r.newerIncarnations, id)
	for _, state := range r.entryStates {
		delete(state.fullReportsDue, id)
	}
}

// Members returns the members by ID. They are shared: don't change them.
func (r *Relayer) Members() []*Member {
	var all []*Member
	snap := r.table.Snapshot()
	for _, service := range snap.Services() {
		all = append(all, snap.Service(service).Members...)
	}
	return all
}

// Batch returns what to tell the entry now of the members, each with its age,
// and the mark to give to Acked with the entry's answer.
func (r *Relayer) Batch(now time.Time, entry string) ([]wire.AgentReport, Cursor) {
	state := r.stateOf(entry)
	batch, cursor := r.table.Relay(now, state.cursor)
	var due []string
	for id, at := range state.fullReportsDue {
		if !now.Before(at) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	batch = slices.DeleteFunc(batch, func(a wire.AgentReport) bool { return slices.Contains(due, a.ID) })
	batch = append(batch, r.table.RelayFull(now, due)...)
	for i := range batch {
		r.clearEvidence(&batch[i])
	}
	return batch, cursor
}

// clearEvidence keeps a relayed report from being taken for evidence that a gang is
// whole. Without a stamp it would count as of its receipt, and the planner would
// renew the other members of a gang whose part here has stopped since.
func (r *Relayer) clearEvidence(a *wire.AgentReport) {
	record := r.table.records[a.ID]
	if record == nil || record.member == nil {
		return
	}
	tasks := record.member.Report.Tasks
	if slices.ContainsFunc(tasks, func(t gang.Task) bool { return t.Members > 1 }) {
		a.Stamp = wire.NoEvidence
	}
}

// HandleAck takes the entry's answer to the batch.
func (r *Relayer) HandleAck(now time.Time, entry string, batch []wire.AgentReport, cursor Cursor, ack *wire.ReportAck) {
	state := r.stateOf(entry)
	state.cursor = max(state.cursor, cursor)
	for _, a := range batch {
		if a.Full {
			delete(state.fullReportsDue, a.ID)
		}
	}
	for _, id := range ack.NeedFull {
		r.scheduleFullReport(state, id, now)
	}
	for _, id := range ack.Refused {
		r.scheduleFullReport(state, id, now.Add(ack.NextReport))
	}
	for _, seen := range ack.Newer {
		if r.table.records[seen.ID] != nil {
			r.newerIncarnations[seen.ID] = seen
		}
	}
}

// scheduleFullReport notes that the entry needs a full report; the agent's own word is not
// needed for it.
func (r *Relayer) scheduleFullReport(state *entryState, id string, at time.Time) {
	if record := r.table.records[id]; record != nil && record.member != nil {
		state.fullReportsDue[id] = at
	}
}

// FullReportDue returns when the next full report for the entry is due; false: none is.
func (r *Relayer) FullReportDue(entry string) (time.Time, bool) {
	var earliest time.Time
	for _, at := range r.stateOf(entry).fullReportsDue {
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest, !earliest.IsZero()
}

// Forget drops an entry that the relay no longer reports to.
func (r *Relayer) Forget(entry string) { delete(r.entryStates, entry) }

func (r *Relayer) stateOf(addr string) *entryState {
	state := r.entryStates[addr]
	if state == nil {
		state = &entryState{fullReportsDue: make(map[string]time.Time)}
		r.entryStates[addr] = state
	}
	return state
}
