package gang

// advance moves to the next phase if what is known allows it, and says whether
// it did.
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

// abortBeforeCommit ends an attempt before its record if a member refuses or is
// lost, or if the holds are about to expire.
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

// advanceResolving waits for every member's account. All committed means that
// the start may have been sent, so carrying on is right; one that never
// committed means that it was not sent. An account from a report doesn't do: the
// member isn't fenced yet, and a predecessor could still end the attempt there.
func (c *Coordinator) advanceResolving() bool {
	if c.abortIfMemberFailed() {
		return true
	}
	if !c.allReached(StateCommitted) || c.anyMember((*memberStatus).unanswered) {
		return false
	}
	// One member ran alone to its end: its predecessor's Start reached it and no
	// other. To start the others now would be a gang that never ran together.
	if c.anyMember((*memberStatus).succeeded) && c.anyMember((*memberStatus).awaitsStart) {
		return c.abort(CauseTimeout, "")
	}
	// The first answers may be so old that their tasks have stopped by isolation
	// since, and a Start to the others would let them run alone.
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
	// No member can have run before the owner's first Start.
	if !c.successor {
		for _, m := range c.members {
			m.markAlive(c.phaseEnteredAt)
		}
	}
	c.enterPhase(phaseRunning)
	c.actions = append(c.actions, Started{})
	return true
}

// abortIfStartTimedOut ends an attempt whose members don't start together. A member
// that has started is not renewed before all have; when it stops by isolation,
// a Start that reached another one only then would let that one run alone.
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

// abortIfMemberFailed ends the attempt everywhere if it can't be completed on one
// member.
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
