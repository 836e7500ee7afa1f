package gang

import "time"

// abort ends the attempt on all members. Before a Commit was sent nothing can
// have started and holds expire by themselves, so there is nothing to wait
// for.
func (c *Coordinator) abort(cause Cause, agent string) bool {
	if c.phase >= phaseStopping {
		return false
	}
	c.cause, c.causeAgent = cause, agent
	c.enterPhase(phaseStopping)
	if c.commitSent {
		return true
	}
	for _, m := range c.members {
		c.sendStop(m)
	}
	return c.finish()
}

// endIfSuperseded ends the coordinator if a member has heard from a planner
// with a higher epoch, and reports whether it did. That planner may have
// completed or ended the attempt, so nothing can be concluded from the
// members' states any more.
func (c *Coordinator) endIfSuperseded(m *memberStatus, fence uint64) bool {
	if fence <= c.config.Epoch {
		return false
	}
	c.phase = phaseEnded
	c.cause, c.causeAgent = CauseStaleEpoch, m.planned.Agent
	c.emitEnded(Superseded)
	return true
}

func (c *Coordinator) finish() bool {
	c.phase = phaseEnded
	outcome := c.outcome()
	if outcome != Done || !c.config.RetainSucceeded {
		c.acknowledgeEndedTasks()
	}
	c.emitEnded(outcome)
	return true
}

// acknowledgeEndedTasks lets the members drop the ended tasks from their
// reports and forget them before others.
func (c *Coordinator) acknowledgeEndedTasks() {
	for _, m := range c.members {
		if m.task.State == StateEnded {
			c.sendStop(m)
		}
	}
}

// lostMembersStoppedAt returns when lost members have certainly stopped by
// isolation, or zero if there is nothing to wait for. A predecessor that still
// reaches all members renews a lost one until it learns that another one is
// fenced. A successor therefore waits FenceWait from the first fence, or the
// gang could start elsewhere while the lost member still runs.
func (c *Coordinator) lostMembersStoppedAt() time.Time {
	var firstFenced time.Time
	if !c.successor || !c.anyMember(func(m *memberStatus) bool { return m.lost && m.task.State != StateEnded }) {
		return firstFenced
	}
	for _, m := range c.members {
		if !m.fencedAt.IsZero() && (firstFenced.IsZero() || m.fencedAt.Before(firstFenced)) {
			firstFenced = m.fencedAt
		}
	}
	if firstFenced.IsZero() {
		return firstFenced
	}
	return firstFenced.Add(c.config.FenceWait)
}

func (c *Coordinator) emitEnded(o Outcome) {
	e := Ended{Outcome: o, Cause: c.cause, CauseAgent: c.causeAgent, MayBeRecorded: c.mayBeRecorded}
	for _, m := range c.members {
		e.Members = append(e.Members, m.result())
	}
	c.actions = append(c.actions, e)
}

func (c *Coordinator) outcome() Outcome {
	switch {
	case c.allReached(StateEnded):
		return Done
	case c.provenNotStarted():
		return NotStarted
	case c.anyMember(func(m *memberStatus) bool { return m.task.Result == TaskFailed }):
		return Failed
	case c.anyMember(func(m *memberStatus) bool { return m.task.Result == StartUnanswered }):
		return StartFailed
	case c.anyMember(func(m *memberStatus) bool { return m.task.State != StateEnded || m.lostOrIsolated() }):
		return Lost
	}
	return Stopped
}

// lostOrIsolated reports whether the task ended because its target lost it or
// because its attempt was not renewed.
func (m *memberStatus) lostOrIsolated() bool {
	return m.task.Result == TaskLost || m.task.Result == Isolated
}

// provenNotStarted reports whether provably no task of the attempt started and
// none will. A Start is sent only by a planner that has seen all members
// committed at their planned incarnations, so each of these is a proof:
//
//   - no Commit was sent;
//   - a member ended without ever having committed;
//   - all members have ended without a start;
//   - this planner made the attempt and sent no Start, and a member ended
//     unstarted without having heard of a higher epoch. A successor fences every
//     member before it sends a Start, and this coordinator would be superseded.
func (c *Coordinator) provenNotStarted() bool {
	if !c.commitSent {
		return true
	}
	if c.anyMember((*memberStatus).neverCommitted) {
		return true
	}
	if !c.anyMember(func(m *memberStatus) bool { return !m.neverStarted() }) {
		return true
	}
	return !c.startSent && c.anyMember((*memberStatus).neverStarted)
}

func (c *Coordinator) anyMember(f func(*memberStatus) bool) bool {
	for _, m := range c.members {
		if f(m) {
			return true
		}
	}
	return false
}

// recordTimeout returns how long reserving and recording may take for the
// Commits to arrive within the hold.
func (c *Coordinator) recordTimeout() time.Duration { return c.config.HoldTimeout * 3 / 4 }
