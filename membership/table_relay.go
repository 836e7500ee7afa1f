package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Cursor is the table version up to which a receiver has been sent relayed reports. Use
// the zero Cursor for a new receiver, and the one returned by Relay only after the
// receiver has acknowledged the batch.
type Cursor uint64

// RelayBatch returns the reports received directly from agents since the cursor: deltas for
// changes, reports without content for agents that merely reported again, and departure
// notices. The receiver passes them to Step as Reports with Relayed set.
func (t *Table) RelayBatch(now time.Time, since Cursor) ([]wire.AgentReport, Cursor) {
	var batch []wire.AgentReport
	for _, r := range t.records {
		if !r.direct || r.livenessVersion <= uint64(since) {
			continue
		}
		if r.member != nil {
			batch = append(batch, r.relayReport(now, uint64(since)))
		} else if r.left {
			batch = append(batch, wire.AgentReport{ID: r.id, Incarnation: r.incarnation, Departed: true})
		}
	}
	slices.SortFunc(batch, func(a, b wire.AgentReport) int { return cmp.Compare(a.ID, b.ID) })
	return batch, Cursor(t.version)
}

// FullReports returns full reports of the members that a receiver named in NeedFull.
func (t *Table) FullReports(now time.Time, ids []string) []wire.AgentReport {
	var batch []wire.AgentReport
	for _, id := range ids {
		if r := t.records[id]; r != nil && r.member != nil {
			batch = append(batch, r.fullReport(now))
		}
	}
	return batch
}

func (r *record) fullReport(now time.Time) wire.AgentReport {
	out := r.member.Report
	out.Sequence = r.sequence
	out.Age = now.Sub(r.lastContact)
	return out
}

// relayReport returns a delta of the groups that changed since the version. BaseSequence
// is the latest sequence at which one of the omitted groups changed: a receiver with that
// sequence or a later one lacks nothing. Changed task lists are sent as full reports,
// because a delta of them would depend on what the receiver has.
func (r *record) relayReport(now time.Time, since uint64) wire.AgentReport {
	var groups wire.FieldGroups
	base := uint64(0)
	for g := range groupCount {
		if r.groupVersion[g] > since {
			groups |= 1 << g
			continue
		}
		base = max(base, r.groupSeq[g])
	}
	if groups&wire.ChangedTasks != 0 {
		return r.fullReport(now)
	}
	out := wire.AgentReport{
		ID:           r.id,
		Incarnation:  r.incarnation,
		Sequence:     r.sequence,
		BaseSequence: base,
		Changed:      groups,
		Age:          now.Sub(r.lastContact),
		Draining:     r.draining,
	}
	copyGroups(&out, r.member.Report, groups)
	return out
}

// copyGroups copies the groups except tasks and draining.
func copyGroups(to *wire.AgentReport, from wire.AgentReport, groups wire.FieldGroups) {
	if groups&wire.ChangedLocation != 0 {
		copyLocation(to, from)
	}
	if groups&wire.ChangedCapacity != 0 {
		copyCapacity(to, from)
	}
	if groups&wire.ChangedLoad != 0 {
		to.Load = from.Load
	}
	if groups&wire.ChangedGenerations != 0 {
		to.Generations = from.Generations
	}
}
