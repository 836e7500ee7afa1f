package gang

// advance enters the next phase if the members' states allow it, and reports
// whether it did.
func (c *Coordinator) advance() bool {
	switch c.phase {
	case phaseReserving:
		return c.advanceReserving()
	case phaseRecording:
		return c.abortBeforeCommit()
	case phaseResolving:
		return c.advanceResolving()
	case phaseCommitting:
		return c.advanceCommitting()
	case phaseStarting:
		return c.advanceStarting()
	case phaseRunning:
		return c.advanceRunning()
	case phaseStopping:
		return c.advanceStopping()
	}
	return false
}

func (c *Coordinator) advanceReserving() bool {
	if c.abortBeforeCommit() {
		return true
	}
	if !c.allReached(StateReserved) {
		return false
	}
	c.mayBeRecorded = true
	c.enterPhase(phaseRecording)
	return true
}

// abortBeforeCommit aborts an attempt whose record is not confirmed yet if a
// member refused, was lost or gave up its hold, or if the holds are about to
// expire.
func (c *Coordinator) abortBeforeCommit() bool {
	for _, m := range c.members {
		if m.refusal != Accepted {
			return c.abort(CauseRefused, m.planned.Agent)
		}
	}
	if c.abortIfMemberFailed() {
		return true
	}
	if c.now.Before(c.beganAt.Add(c.recordTimeout())) {
		return false
	}
	return c.abort(CauseTimeout, "")
}

// advanceResolving waits until every member has replied to its Seal. If all
// have committed, the Start may have been sent, so the attempt goes on; if a
// member never committed, it was not sent. A report does not replace a reply:
// the member isn't fenced yet, and a predecessor could still end the attempt
// there.
func (c *Coordinator) advanceResolving() bool {
	if c.abortIfMemberFailed() {
		return true
	}
	if !c.allReached(StateCommitted) || c.anyMember((*memberStatus).unanswered) {
		return false
	}
	// One member ran to its end alone, because the predecessor's Start reached
	// only some members. Starting the others now would not run the gang
	// together.
	if c.anyMember((*memberStatus).succeeded) && c.anyMember((*memberStatus).awaitsStart) {
		return c.abort(CauseTimeout, "")
	}
	// The first replies may be so old that their tasks have stopped by
	// isolation since. A Start would then let the other members run alone.
	if c.now.Sub(c.beganAt) >= c.config.startTimeout() {
		c.startResolving()
		return false
	}
	c.enterPhase(phaseStarting)
	return true
}

func (c *Coordinator) advanceCommitting() bool {
	if c.abortIfMemberFailed() {
		return true
	}
	if !c.allReached(StateCommitted) {
		return false
	}
	c.startSent = true
	c.enterPhase(phaseStarting)
	return true
}

func (c *Coordinator) advanceStarting() bool {
	if c.abortIfMemberFailed() {
		return true
	}
	if !c.allReached(StateRunning) {
		return c.abortIfStartTimedOut()
	}
	// No member can have run before the first Start of the attempt's own
	// planner.
	if !c.successor {
		for _, m := range c.members {
			m.markAlive(c.phaseEnteredAt)
		}
	}
	c.enterPhase(phaseRunning)
	c.actions = append(c.actions, Started{})
	return true
}

// abortIfStartTimedOut aborts an attempt whose members don't all start in
// time. A member that has started is not renewed until all have. After it has
// stopped by isolation, a delayed Start would let another member run alone.
func (c *Coordinator) abortIfStartTimedOut() bool {
	if c.now.Sub(c.phaseEnteredAt) < c.config.startTimeout() {
		return false
	}
	return c.abort(CauseTimeout, "")
}

func (c *Coordinator) advanceRunning() bool {
	if c.abortIfMemberFailed() {
		return true
	}
	if !c.allReached(StateEnded) {
		return false
	}
	return c.finish()
}

func (c *Coordinator) advanceStopping() bool {
	for _, m := range c.members {
		if !m.released() {
			return false
		}
	}
	if c.now.Before(c.lostMembersStoppedAt()) {
		return false
	}
	return c.finish()
}

func (c *Coordinator) allReached(s State) bool {
	for _, m := range c.members {
		if !m.reached(s) {
			return false
		}
	}
	return true
}

// abortIfMemberFailed aborts the attempt if it can no longer succeed on one of
// its members.
func (c *Coordinator) abortIfMemberFailed() bool {
	for _, m := range c.members {
		if !m.cannotComplete() {
			continue
		}
		if m.task.Result == TaskFailed {
			return c.abort(CauseTaskFailed, m.planned.Agent)
		}
		return c.abort(CauseMemberFailed, m.planned.Agent)
	}
	return false
}
