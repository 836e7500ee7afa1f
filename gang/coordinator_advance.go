package gang

// advance moves to the next phase if what is known allows it, and says whether
// it did.
func (c *Coordinator) advance() bool {
	switch c.phase {
	case phaseReserving:
		return c.advanceReserving()
	case phaseRecording:
		return c.giveUpUnstarted()
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
	if c.giveUpUnstarted() {
		return true
	}
	if !c.all(StateReserved) {
		return false
	}
	c.recording = true
	c.enter(phaseRecording)
	return true
}

// giveUpUnstarted ends an attempt before its record if a member refuses or is
// lost, or if the holds are about to expire.
func (c *Coordinator) giveUpUnstarted() bool {
	for _, p := range c.peers {
		if p.refusal != Accepted {
			return c.abort(CauseRefused, p.placed.Agent)
		}
	}
	if c.giveUpBroken() {
		return true
	}
	if c.now.Before(c.began.Add(c.holdMargin())) {
		return false
	}
	return c.abort(CauseTimeout, "")
}

// advanceResolving waits for every member's account. All committed means that
// the start may have been sent, so carrying on is right; one that never
// committed means that it was not sent. An account from a report doesn't do: the
// member isn't fenced yet, and a predecessor could still end the attempt there.
func (c *Coordinator) advanceResolving() bool {
	if c.giveUpBroken() {
		return true
	}
	if !c.all(StateCommitted) || c.any((*peer).unanswered) {
		return false
	}
	// One member ran alone to its end: its predecessor's Start reached it and no
	// other. To start the others now would be a gang that never ran together.
	if c.any((*peer).succeeded) && c.any((*peer).unstarted) {
		return c.abort(CauseTimeout, "")
	}
	// The first answers may be so old that their tasks have stopped by isolation
	// since, and a Start to the others would let them run alone.
	if c.now.Sub(c.began) >= c.config.startWithin() {
		c.ask()
		return false
	}
	c.enter(phaseStarting)
	return true
}

func (c *Coordinator) advanceCommitting() bool {
	if c.giveUpBroken() {
		return true
	}
	if !c.all(StateCommitted) {
		return false
	}
	c.starting = true
	c.enter(phaseStarting)
	return true
}

func (c *Coordinator) advanceStarting() bool {
	if c.giveUpBroken() {
		return true
	}
	if !c.all(StateRunning) {
		return c.giveUpStarting()
	}
	// No member can have run before the owner's first Start.
	if !c.successor {
		for _, p := range c.peers {
			p.hear(c.entered)
		}
	}
	c.enter(phaseRunning)
	c.actions = append(c.actions, Started{})
	return true
}

// giveUpStarting ends an attempt whose members don't start together. A member
// that has started is not renewed before all have; when it stops by isolation,
// a Start that reached another one only then would let that one run alone.
func (c *Coordinator) giveUpStarting() bool {
	if c.now.Sub(c.entered) < c.config.startWithin() {
		return false
	}
	return c.abort(CauseTimeout, "")
}

func (c *Coordinator) advanceRunning() bool {
	if c.giveUpBroken() {
		return true
	}
	if !c.all(StateEnded) {
		return false
	}
	return c.finish()
}

func (c *Coordinator) advanceStopping() bool {
	for _, p := range c.peers {
		if !p.over() {
			return false
		}
	}
	if c.now.Before(c.settled()) {
		return false
	}
	return c.finish()
}

func (c *Coordinator) all(s State) bool {
	for _, p := range c.peers {
		if !p.reached(s) {
			return false
		}
	}
	return true
}

// giveUpBroken ends the attempt everywhere if it can't be completed on one
// member.
func (c *Coordinator) giveUpBroken() bool {
	for _, p := range c.peers {
		if !p.broken() {
			continue
		}
		if p.task.Result == TaskFailed {
			return c.abort(CauseTaskFailed, p.placed.Agent)
		}
		return c.abort(CauseMemberFailed, p.placed.Agent)
	}
	return false
}
