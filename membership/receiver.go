package membership

import (
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// receiver is what a Reporter keeps of one receiver.
type receiver struct {
	acked    uint64 // sequence that the receiver has, 0 for none
	due      time.Time
	sentAt   time.Time
	failures int
	refused  bool
}

func (r *Reporter) receiver(now time.Time, to string) *receiver {
	rc := r.receivers[to]
	if rc == nil {
		rc = &receiver{due: now}
		r.receivers[to] = rc
	}
	return rc
}

// changed brings the next report forward. Load alone waits for the period: it
// changes with each request. Draining waits for nothing, not even for a
// receiver that shed the last report: a late one costs callers.
func (rc *receiver) changed(now time.Time, groups wire.FieldGroups, cfg ReporterConfig) {
	if groups&wire.ChangedDraining != 0 {
		rc.due = now
		return
	}
	if groups == wire.ChangedLoad || rc.refused || rc.failures > 0 {
		return
	}
	rc.bring(laterOf(now, rc.sentAt.Add(cfg.Coalesce)))
}

func (rc *receiver) bring(at time.Time) {
	if at.Before(rc.due) {
		rc.due = at
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// HandleAck takes the receiver's answer to the report with the sequence. Changes
// made since that report are due as soon as Coalesce allows.
func (r *Reporter) HandleAck(now time.Time, to string, sequence uint64, ack *wire.ReportAck) {
	rc := r.receiver(now, to)
	rc.failures = 0
	rc.refused = slices.Contains(ack.Refused, r.state.ID)
	if rc.refused {
		// Spread over half of the wait again: those that were shed in one
		// moment may have got the same answer through an aggregator.
		rc.acked = 0
		rc.due = now.Add(ack.NextReportIn + time.Duration(r.random()*float64(ack.NextReportIn)/2))
		return
	}
	if slices.Contains(ack.NeedFull, r.state.ID) {
		rc.acked = 0
		rc.due = now.Add(r.jittered(r.cfg.Coalesce))
		return
	}
	rc.acked = max(rc.acked, sequence)
	rc.due = now.Add(r.jittered(max(r.cfg.Period, ack.NextReportIn)))
	if news := r.newsSince(sequence); news != 0 {
		rc.changed(now, news, r.cfg)
	}
	r.trimEnded()
}

// HandleFailure notes that a report got no answer. The next one comes after a wait
// that doubles up to Every, or drainingRetry for an agent that drains: behind a
// longer wait a receiver that is back would offer it for as long.
func (r *Reporter) HandleFailure(now time.Time, to string) {
	rc := r.receiver(now, to)
	most := r.cfg.Period
	if r.state.Draining {
		most = min(most, drainingRetry)
	}
	wait := min(r.cfg.Coalesce<<min(rc.failures, 16), most)
	rc.failures++
	rc.due = now.Add(r.jittered(wait))
}

// drainingRetry is the longest wait of a draining agent after a failed report.
const drainingRetry = time.Second

// newsSince returns the groups that changed after the sequence.
func (r *Reporter) newsSince(sequence uint64) wire.FieldGroups {
	var groups wire.FieldGroups
	for g := range groupCount {
		if r.groupSeq[g] > sequence {
			groups |= 1 << g
		}
	}
	return groups
}

// trimEnded drops ended tasks that every receiver knows of. It notes up to where,
// because a receiver without an acknowledged sequence does not count here and a
// late acknowledgement may yet give it an early one.
func (r *Reporter) trimEnded() {
	least := r.state.Sequence
	for _, rc := range r.receivers {
		if rc.acked > 0 {
			least = min(least, rc.acked)
		}
	}
	kept := slices.IndexFunc(r.ended, func(e endedTask) bool { return e.seq > least })
	if kept < 0 {
		kept = len(r.ended)
	}
	r.forgetEnded(kept)
}

// Failures returns how many reports in a row the receiver left unanswered.
func (r *Reporter) Failures(to string) int {
	if rc := r.receivers[to]; rc != nil {
		return rc.failures
	}
	return 0
}
