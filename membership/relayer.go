package membership

import (
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Relayer is the state of a relay: the members that report to it, and what each entry
// has received about them. It is not safe for concurrent use. Times passed to it must not
// go back and should come from a clock that advances during suspension, because they
// determine the age of reports.
type Relayer struct {
	table             *Table
	entryStates       map[string]*entryState
	newerIncarnations map[string]wire.AgentIncarnation
}

// entryState is what one entry has received from this relay.
type entryState struct {
	cursor         Cursor
	fullReportsDue map[string]time.Time // when the entry needs a full report, by agent
}

// NewRelayer returns a Relayer without members.
func NewRelayer() *Relayer {
	return &Relayer{
		table: NewTable(Config{
			SuspectAfter: relayMemberTimeout,
			LostAfter:    relayMemberTimeout,
			ForgetAfter:  time.Minute,
			ReportPeriod: RelayHeartbeat,
			MaxMembers:   maxRelayMembers,
		}),
		entryStates:       make(map[string]*entryState),
		newerIncarnations: make(map[string]wire.AgentIncarnation),
	}
}

// HandleReport processes a member's report. It returns the answer, without the list of
// entries, and whether the entries must be informed without waiting for the relay's next
// report. That is always so for a full report: the member reported directly until now,
// and the entries' last report of it may be a period old.
func (r *Relayer) HandleReport(now time.Time, report wire.AgentReport) (*wire.ReportAck, bool) {
	actions := r.table.Step(now, Reports{Batch: []wire.AgentReport{report}})
	ack := &wire.ReportAck{}
	FillAck(ack, actions)
	if seen, ok := r.newerIncarnations[report.ID]; ok && seen.Incarnation > report.Incarnation {
		ack.NewerIncarnations = append(ack.NewerIncarnations, seen)
	}
	return ack, report.Full || slices.ContainsFunc(actions, isUrgent)
}

func isUrgent(a Action) bool {
	switch a := a.(type) {
	case Joined, Left:
		return true
	case Changed:
		return a.Groups&^wire.ChangedLoad != 0
	}
	return false
}

// Tick drops members that have not reported for long. Call it about every second.
func (r *Relayer) Tick(now time.Time) {
	for _, a := range r.table.Step(now, Tick{}) {
		if lost, ok := a.(Lost); ok {
			r.dropMember(lost.Member.Report.ID)
		}
	}
}

func (r *Relayer) dropMember(id string) {
	delete(r.newerIncarnations, id)
	for _, state := range r.entryStates {
		delete(state.fullReportsDue, id)
	}
}

// Members returns the members sorted by service and ID. They are shared and must not be
// modified.
func (r *Relayer) Members() []*Member {
	var all []*Member
	snap := r.table.Snapshot()
	for _, service := range snap.Services() {
		all = append(all, snap.Service(service).Members...)
	}
	return all
}

// Batch returns the members' reports to send to the entry now, each with its age, and
// the cursor to pass to HandleAck with the entry's answer.
func (r *Relayer) Batch(now time.Time, entry string) ([]wire.AgentReport, Cursor) {
	state := r.stateOf(entry)
	batch, cursor := r.table.RelayBatch(now, state.cursor)
	var due []string
	for id, at := range state.fullReportsDue {
		switch {
		case !r.reportsHere(now, id):
			delete(state.fullReportsDue, id)
		case !now.Before(at):
			due = append(due, id)
		}
	}
	slices.Sort(due)
	batch = slices.DeleteFunc(batch, func(a wire.AgentReport) bool { return slices.Contains(due, a.ID) })
	batch = append(batch, r.table.FullReports(now, due)...)
	for i := range batch {
		r.clearEvidence(&batch[i])
	}
	return batch, cursor
}

// clearEvidence marks the relayed report of a gang's member as no evidence that the
// gang runs. Without a timestamp it would count from its receipt, and the planner would
// renew the gang's other members although this one may have stopped since.
func (r *Relayer) clearEvidence(a *wire.AgentReport) {
	record := r.table.records[a.ID]
	if record == nil || record.member == nil {
		return
	}
	tasks := record.member.Report.Tasks
	if slices.ContainsFunc(tasks, func(t gang.Task) bool { return t.Members > 1 }) {
		a.PlannerTimestamp = wire.InvalidPlannerTimestamp
	}
}

// HandleAck processes the entry's answer to the batch.
func (r *Relayer) HandleAck(now time.Time, entry string, batch []wire.AgentReport, cursor Cursor, ack *wire.ReportAck) {
	state := r.stateOf(entry)
	state.cursor = max(state.cursor, cursor)
	for _, a := range batch {
		if a.Full {
			delete(state.fullReportsDue, a.ID)
		}
	}
	for _, id := range ack.NeedFull {
		r.scheduleFullReport(now, state, id, now)
	}
	for _, id := range ack.Refused {
		r.scheduleFullReport(now, state, id, now.Add(ack.NextReportIn))
	}
	for _, seen := range ack.NewerIncarnations {
		if r.table.records[seen.ID] != nil {
			r.newerIncarnations[seen.ID] = seen
		}
	}
}

// scheduleFullReport records that the entry needs a full report of the agent, which the
// relay can send without asking the agent.
func (r *Relayer) scheduleFullReport(now time.Time, state *entryState, id string, at time.Time) {
	if r.reportsHere(now, id) {
		state.fullReportsDue[id] = at
	}
}

// reportsHere reports whether a member relies on this relay. One that was not answered
// for relayAckValidity reports directly, and may have said there that it is draining: an
// entry that has just started must not learn its earlier state from the relay.
func (r *Relayer) reportsHere(now time.Time, id string) bool {
	record := r.table.records[id]
	return record != nil && record.member != nil && now.Sub(record.lastContact) <= relayAckValidity
}

// FullReportDue returns when the next full report for the entry is due, and false if
// none is.
func (r *Relayer) FullReportDue(entry string) (time.Time, bool) {
	var earliest time.Time
	for _, at := range r.stateOf(entry).fullReportsDue {
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest, !earliest.IsZero()
}

// RemoveEntry drops the state of an entry that the relay no longer reports to.
func (r *Relayer) RemoveEntry(entry string) { delete(r.entryStates, entry) }

func (r *Relayer) stateOf(addr string) *entryState {
	state := r.entryStates[addr]
	if state == nil {
		state = &entryState{fullReportsDue: make(map[string]time.Time)}
		r.entryStates[addr] = state
	}
	return state
}
