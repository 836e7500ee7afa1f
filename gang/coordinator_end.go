package gang

import "time"

// abort ends the attempt on all members. Before a Commit was sent nothing can
// have started and holds expire, so there is nothing to wait for.
func (c *Coordinator) abort(cause Cause, fault string) bool {
	if c.phase >= phaseStopping {
		return false
	}
	c.cause, c.causeAgent = cause, fault
	c.enterPhase(phaseStopping)
	if c.commitSent {
		return true
	}
	for _, m := range c.members {
		c.sendStop(m)
	}
	return c.finish()
}

// endIfSuperseded ends the coordinator without a word about the attempt if a member
// has heard of a planner with a higher epoch: that one may have carried on with
// the attempt or given it up, and accounts from after that prove less.
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

// acknowledgeEndedTasks takes notice of the end at the members, which then forget it first.
func (c *Coordinator) acknowledgeEndedTasks() {
	for _, m := range c.members {
		if m.task.State == StateEnded {
			c.sendStop(m)
		}
	}
}

// lostMembersStoppedAt returns when a lost member has certainly stopped by isolation.
//
// The loss timeout alone doesn't tell a successor: a predecessor that still
// reaches all members goes on renewing the lost one until it hears that another
// has been fenced, which may have happened only just now. The gang would then be
// started elsewhere while the lost member runs on alone. If no member was ever
// reached there is nothing to wait for: what the predecessor renews is whole.
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
	return firstFenced.Add(c.config.SettleTime)
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
	case c.anyMember(func(m *memberStatus) bool { return m.task.State != StateEnded || m.lostOrIsolated() }):
		return Lost
	}
	return Stopped
}

// lostOrIsolated says whether the task ended for want of its agent or target.
func (m *memberStatus) lostOrIsolated() bool {
	return m.task.Result == TaskLost || m.task.Result == Isolated
}

// provenNotStarted says whether no task of the attempt started and none will.
// A Start is sent only by a planner that has seen all members committed at their
// planned incarnations, so each of these is a proof:
//
//   - no Commit was sent;
//   - a member never committed and has ended;
//   - all members have ended without a start;
//   - the owner sent no Start, and a member ended unstarted without having heard
//     of a higher epoch. A successor that sent a Start had raised the fence at
//     every member before, and this coordinator would be superseded.
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

// recordTimeout is how long reserving and recording may take, so that the Commits
// still arrive within the hold.
func (c *Coordinator) recordTimeout() time.Duration { return c.config.HoldTimeout * 3 / 4 }
