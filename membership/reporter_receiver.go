package membership

import (
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// receiver is the state that a Reporter keeps of one receiver.
type receiver struct {
	acked    uint64 // sequence that the receiver has; 0: none
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

// advanceDue makes the next report due earlier because of a change. Load alone waits
// for the period, since it changes with each request. Draining never waits, not even
// for a receiver that refused the last report, because callers would be sent to the
// agent until then.
func (rc *receiver) advanceDue(now time.Time, groups wire.FieldGroups, cfg ReporterConfig) {
	if groups&wire.ChangedDraining != 0 {
		rc.due = now
		return
	}
	if groups == wire.ChangedLoad || rc.refused || rc.failures > 0 {
		return
	}
	rc.dueBy(laterOf(now, rc.sentAt.Add(cfg.Coalesce)))
}

func (rc *receiver) dueBy(at time.Time) {
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

// HandleAck processes the receiver's answer to the report with the sequence. Changes
// made since that report are due as soon as Coalesce allows.
func (r *Reporter) HandleAck(now time.Time, to string, sequence uint64, ack *wire.ReportAck) {
	rc := r.receiver(now, to)
	rc.failures = 0
	rc.refused = slices.Contains(ack.Refused, r.state.ID)
	if rc.refused {
		// Spread the retries over another half of the delay: agents that were refused
		// at the same time may have received the same answer through a relay.
		rc.acked = 0
		rc.due = now.Add(ack.NextReportIn + time.Duration(r.random()*float64(ack.NextReportIn)/2))
		return
	}
	if slices.Contains(ack.NeedFull, r.state.ID) {
		rc.acked = 0
		rc.due = now.Add(r.withJitter(r.cfg.Coalesce))
		return
	}
	rc.acked = max(rc.acked, sequence)
	rc.due = now.Add(r.withJitter(max(r.cfg.Period, ack.NextReportIn)))
	if groups := r.changedSince(sequence); groups != 0 {
		rc.advanceDue(now, groups, r.cfg)
	}
	r.trimEnded()
}

// HandleFailure records that a report was not answered. The next one follows after a
// delay that doubles up to Period, or up to maxDrainingRetryDelay for a draining agent.
func (r *Reporter) HandleFailure(now time.Time, to string) {
	rc := r.receiver(now, to)
	maxWait := r.cfg.Period
	if r.state.Draining {
		maxWait = min(maxWait, maxDrainingRetryDelay)
	}
	wait := min(r.cfg.Coalesce<<min(rc.failures, 16), maxWait)
	rc.failures++
	rc.due = now.Add(r.withJitter(wait))
}

// maxDrainingRetryDelay is the longest delay of a draining agent after a failed report.
// A receiver that is back would take the agent for schedulable until then.
const maxDrainingRetryDelay = time.Second

// changedSince returns the groups that changed after the sequence.
func (r *Reporter) changedSince(sequence uint64) wire.FieldGroups {
	var groups wire.FieldGroups
	for g := range groupCount {
		if r.groupSeq[g] > sequence {
			groups |= 1 << g
		}
	}
	return groups
}

// trimEnded drops ended tasks that every receiver knows of. It keeps the sequence of
// the last dropped one: receivers without an acknowledged sequence are not considered
// here, and a late acknowledgement may still give one an earlier sequence.
func (r *Reporter) trimEnded() {
	minAcked := r.state.Sequence
	for _, rc := range r.receivers {
		if rc.acked > 0 {
			minAcked = min(minAcked, rc.acked)
		}
	}
	firstKept := slices.IndexFunc(r.ended, func(e endedTask) bool { return e.seq > minAcked })
	if firstKept < 0 {
		firstKept = len(r.ended)
	}
	r.dropEnded(firstKept)
}

// Failures returns the number of consecutive reports that the receiver left unanswered.
func (r *Reporter) Failures(to string) int {
	if rc := r.receivers[to]; rc != nil {
		return rc.failures
	}
	return 0
}
