package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Cursor marks up to where a receiver of relays has been told. Use the zero
// Cursor for a new receiver, and the one returned by Relay only once the
// receiver has acknowledged.
type Cursor uint64

// Relay returns what this table heard directly from agents since the cursor:
// deltas for changes, entries without content for agents that were only heard
// again, goodbyes. The receiver gives it to Step as Reports with Relayed set.
func (t *Table) Relay(now time.Time, since Cursor) ([]wire.AgentReport, Cursor) {
	var batch []wire.AgentReport
	for _, r := range t.records {
		if !r.direct || r.lifeVersion <= uint64(since) {
			continue
		}
		if r.member != nil {
			batch = append(batch, r.relay(now, uint64(since)))
		} else if r.left {
			batch = append(batch, wire.AgentReport{ID: r.id, Incarnation: r.incarnation, Departed: true})
		}
	}
	slices.SortFunc(batch, func(a, b wire.AgentReport) int { return cmp.Compare(a.ID, b.ID) })
	return batch, Cursor(t.version)
}

// RelayFull returns full reports of the members that a receiver of relays
// named in NeedFull.
func (t *Table) RelayFull(now time.Time, ids []string) []wire.AgentReport {
	var batch []wire.AgentReport
	for _, id := range ids {
		if r := t.records[id]; r != nil && r.member != nil {
			batch = append(batch, r.full(now))
		}
	}
	return batch
}

func (r *record) full(now time.Time) wire.AgentReport {
	out := r.member.Report
	out.Sequence = r.sequence
	out.Age = now.Sub(r.heard)
	return out
}

// relay makes a delta of the groups that changed since the version. Its Base
// is the latest sequence at which one of the groups left out has changed:
// whoever knows the agent from there on lacks nothing. Task lists go in full
// reports, because a delta of them would need to know what the receiver has.
func (r *record) relay(now time.Time, since uint64) wire.AgentReport {
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
		return r.full(now)
	}
	out := wire.AgentReport{
		ID:           r.id,
		Incarnation:  r.incarnation,
		Sequence:     r.sequence,
		BaseSequence: base,
		Changed:      groups,
		Age:          now.Sub(r.heard),
		Draining:     r.draining,
	}
	copyGroups(&out, r.member.Report, groups)
	return out
}

// copyGroups copies the groups but for tasks and draining.
func copyGroups(to *wire.AgentReport, from wire.AgentReport, groups wire.FieldGroups) {
	if groups&wire.ChangedLocation != 0 {
		setPlace(to, from)
	}
	if groups&wire.ChangedCapacity != 0 {
		setSize(to, from)
	}
	if groups&wire.ChangedLoad != 0 {
		to.Load = from.Load
	}
	if groups&wire.ChangedGenerations != 0 {
		to.Generations = from.Generations
	}
}
