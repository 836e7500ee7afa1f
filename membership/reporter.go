package membership

import (
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// maxEndedTasks bounds the ended tasks that are kept for deltas.
const maxEndedTasks = 1024

// Reporter decides when an agent reports to each receiver, and what. It is not safe for
// concurrent use.
//
// Sequence counts changes of the agent's state, not reports, so it is the same for all
// receivers and relays. A delta holds what changed since the last report that its
// receiver acknowledged.
type Reporter struct {
	cfg            ReporterConfig
	random         func() float64
	state          wire.AgentReport
	groupSeq       [groupCount]uint64
	taskSeq        map[gang.ID]uint64
	ended          []endedTask
	lastDroppedSeq uint64 // latest sequence of an ended task that was dropped
	receivers      map[string]*receiver
}

type endedTask struct {
	id  gang.ID
	seq uint64
}

// NewReporter returns a Reporter for the agent that state describes. random returns
// numbers in [0, 1).
func NewReporter(cfg ReporterConfig, state wire.AgentReport, random func() float64) *Reporter {
	r := &Reporter{
		cfg:       cfg.withDefaults(),
		random:    random,
		taskSeq:   map[gang.ID]uint64{},
		receivers: map[string]*receiver{},
	}
	state.Sequence = 1
	r.state = state
	r.state.Full = true
	r.state.Tasks = slices.Clone(state.Tasks)
	for g := range groupCount {
		r.groupSeq[g] = 1
	}
	for _, t := range state.Tasks {
		r.taskSeq[t.ID] = 1
	}
	return r
}

// SetState sets the agent's whole state. ID and Incarnation are kept; Sequence and the
// fields of deltas are set by the Reporter. Draining can't be revoked.
func (r *Reporter) SetState(now time.Time, state wire.AgentReport) {
	state.ID = r.state.ID
	state.Incarnation = r.state.Incarnation
	state.Draining = state.Draining || r.state.Draining
	state.Full = true
	state.Sequence = r.state.Sequence
	state.Tasks = slices.Clone(state.Tasks)
	groups := diff(r.state, state)
	if groups == 0 {
		return
	}
	state.Sequence++
	for g := range groupCount {
		if groups&(1<<g) != 0 {
			r.groupSeq[g] = state.Sequence
		}
	}
	r.trackTasks(state)
	r.state = state
	for _, to := range r.receivers {
		to.advanceDue(now, groups, r.cfg)
	}
}

// trackTasks records the sequence at which each task changed or ended.
func (r *Reporter) trackTasks(next wire.AgentReport) {
	before := make(map[gang.ID]gang.Task, len(r.state.Tasks))
	for _, t := range r.state.Tasks {
		before[t.ID] = t
	}
	for _, t := range next.Tasks {
		old, ok := before[t.ID]
		if !ok || !old.Equal(t) {
			r.taskSeq[t.ID] = next.Sequence
		}
		delete(before, t.ID)
	}
	for _, t := range r.state.Tasks {
		if _, gone := before[t.ID]; gone {
			delete(r.taskSeq, t.ID)
			r.ended = append(r.ended, endedTask{t.ID, next.Sequence})
		}
	}
	r.dropEnded(len(r.ended) - maxEndedTasks)
}

// dropEnded drops the n oldest ended tasks. A receiver that has not acknowledged them
// needs a full report.
func (r *Reporter) dropEnded(n int) {
	if n <= 0 {
		return
	}
	r.lastDroppedSeq = r.ended[n-1].seq
	r.ended = slices.Clone(r.ended[n:])
}

// Due returns when to report to the receiver next. A new receiver is due at once.
func (r *Reporter) Due(now time.Time, to string) time.Time {
	return r.receiver(now, to).due
}

// Report returns the report to send to the receiver now. The caller must pass the
// outcome to HandleAck or HandleFailure.
func (r *Reporter) Report(now time.Time, to string) wire.AgentReport {
	rc := r.receiver(now, to)
	rc.sentAt = now
	rc.due = now.Add(r.withJitter(r.cfg.Period))
	if rc.acked == 0 || rc.acked < r.lastDroppedSeq {
		return r.state
	}
	return r.delta(rc.acked)
}

// DepartureReport returns the departure notice that the agent sends when it stops.
func (r *Reporter) DepartureReport() wire.AgentReport {
	return wire.AgentReport{ID: r.state.ID, Incarnation: r.state.Incarnation, Departed: true}
}

// RemoveReceiver drops the state of a receiver that the agent no longer reports to.
func (r *Reporter) RemoveReceiver(to string) { delete(r.receivers, to) }

// delta returns what changed after the sequence base.
func (r *Reporter) delta(base uint64) wire.AgentReport {
	out := wire.AgentReport{
		ID:           r.state.ID,
		Incarnation:  r.state.Incarnation,
		Sequence:     r.state.Sequence,
		BaseSequence: base,
	}
	for g := range groupCount {
		if r.groupSeq[g] > base {
			out.Changed |= 1 << g
		}
	}
	copyGroups(&out, r.state, out.Changed)
	if out.Changed&wire.ChangedDraining != 0 {
		out.Draining = r.state.Draining
	}
	if out.Changed&wire.ChangedTasks != 0 {
		r.addTasks(&out, base)
	}
	return out
}

func (r *Reporter) addTasks(out *wire.AgentReport, base uint64) {
	out.FencingEpoch = r.state.FencingEpoch
	for _, t := range r.state.Tasks {
		if r.taskSeq[t.ID] > base {
			out.Tasks = append(out.Tasks, t)
		}
	}
	for _, e := range r.ended {
		if e.seq > base && r.taskSeq[e.id] == 0 {
			out.RemovedTasks = append(out.RemovedTasks, e.id)
		}
	}
}

// withJitter shortens or lengthens a period at random, by up to the configured share.
func (r *Reporter) withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + r.cfg.Jitter*(2*r.random()-1)))
}
