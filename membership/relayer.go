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
	table *Table
	told  map[string]*told
	newer map[string]wire.AgentIncarnation
}

// told is what one entry knows by this relay.
type told struct {
	cursor Cursor
	owed   map[string]time.Time // full reports that are due then, by agent
}

// NewRelayer returns one without members.
func NewRelayer() *Relayer {
	return &Relayer{
		table: NewTable(Config{
			SuspectAfter: relayMemberLost,
			LostAfter:    relayMemberLost,
			ForgetAfter:  time.Minute,
			ReportPeriod: RelayHeartbeat,
			MaxMembers:   relayMaxMembers,
		}),
		told:  make(map[string]*told),
		newer: make(map[string]wire.AgentIncarnation),
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
	if seen, ok := r.newer[report.ID]; ok && seen.Incarnation > report.Incarnation {
		ack.NewerIncarnations = append(ack.NewerIncarnations, seen)
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
			r.drop(lost.Member.Report.ID)
		}
	}
}

func (r *Relayer) drop(id string) {
	delete(r.newer, id)
	for _, t := range r.told {
		delete(t.owed, id)
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
	t := r.entry(entry)
	batch, cursor := r.table.Relay(now, t.cursor)
	var due []string
	for id, at := range t.owed {
		if !now.Before(at) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	batch = slices.DeleteFunc(batch, func(a wire.AgentReport) bool { return slices.Contains(due, a.ID) })
	batch = append(batch, r.table.RelayFull(now, due)...)
	for i := range batch {
		r.mark(&batch[i])
	}
	return batch, cursor
}

// mark keeps a relayed report from being taken for evidence that a gang is
// whole. Without a stamp it would count as of its receipt, and the planner would
// renew the other members of a gang whose part here has stopped since.
func (r *Relayer) mark(a *wire.AgentReport) {
	record := r.table.records[a.ID]
	if record == nil || record.member == nil {
		return
	}
	tasks := record.member.Report.Tasks
	if slices.ContainsFunc(tasks, func(t gang.Task) bool { return t.Members > 1 }) {
		a.PlannerTimestamp = wire.InvalidPlannerTimestamp
	}
}

// HandleAck takes the entry's answer to the batch.
func (r *Relayer) HandleAck(now time.Time, entry string, batch []wire.AgentReport, cursor Cursor, ack *wire.ReportAck) {
	t := r.entry(entry)
	t.cursor = max(t.cursor, cursor)
	for _, a := range batch {
		if a.Full {
			delete(t.owed, a.ID)
		}
	}
	for _, id := range ack.NeedFull {
		r.owe(t, id, now)
	}
	for _, id := range ack.Refused {
		r.owe(t, id, now.Add(ack.NextReportIn))
	}
	for _, seen := range ack.NewerIncarnations {
		if r.table.records[seen.ID] != nil {
			r.newer[seen.ID] = seen
		}
	}
}

// owe notes that the entry needs a full report; the agent's own word is not
// needed for it.
func (r *Relayer) owe(t *told, id string, at time.Time) {
	if record := r.table.records[id]; record != nil && record.member != nil {
		t.owed[id] = at
	}
}

// FullReportDue returns when the next full report for the entry is due; false: none is.
func (r *Relayer) FullReportDue(entry string) (time.Time, bool) {
	var first time.Time
	for _, at := range r.entry(entry).owed {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// Forget drops an entry that the relay no longer reports to.
func (r *Relayer) Forget(entry string) { delete(r.told, entry) }

func (r *Relayer) entry(addr string) *told {
	t := r.told[addr]
	if t == nil {
		t = &told{owed: make(map[string]time.Time)}
		r.told[addr] = t
	}
	return t
}
