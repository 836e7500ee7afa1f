package gang

import "time"

// abort ends the attempt on all members. Before a Commit was sent nothing can
// have started and holds expire, so there is nothing to wait for.
func (c *Coordinator) abort(cause Cause, fault string) bool {
	if c.phase >= phaseStopping {
		return false
	}
	c.cause, c.fault = cause, fault
	c.enter(phaseStopping)
	if c.committing {
		return true
	}
	for _, p := range c.peers {
		c.sendStop(p)
	}
	return c.finish()
}

// superseded ends the coordinator without a word about the attempt if a member
// has heard of a planner with a higher epoch: that one may have carried on with
// the attempt or given it up, and accounts from after that prove less.
func (c *Coordinator) superseded(p *peer, fence uint64) bool {
	if fence <= c.config.Epoch {
		return false
	}
	c.phase = phaseEnded
	c.cause, c.fault = CauseStaleEpoch, p.placed.Agent
	c.emitEnded(Superseded)
	return true
}

func (c *Coordinator) finish() bool {
	c.phase = phaseEnded
	outcome := c.outcome()
	if outcome != Done || !c.config.RetainSucceeded {
		c.closeAccounts()
	}
	c.emitEnded(outcome)
	return true
}

// closeAccounts takes notice of the end at the members, which then forget it first.
func (c *Coordinator) closeAccounts() {
	for _, p := range c.peers {
		if p.task.State == StateEnded {
			c.sendStop(p)
		}
	}
}

// settled returns when a lost member has certainly stopped by isolation.
//
// The loss timeout alone doesn't tell a successor: a predecessor that still
// reaches all members goes on renewing the lost one until it hears that another
// has been fenced, which may have happened only just now. The gang would then be
// started elsewhere while the lost member runs on alone. If no member was ever
// reached there is nothing to wait for: what the predecessor renews is whole.
func (c *Coordinator) settled() time.Time {
	var first time.Time
	if !c.successor || !c.any(func(p *peer) bool { return p.lost && p.task.State != StateEnded }) {
		return first
	}
	for _, p := range c.peers {
		if !p.fenced.IsZero() && (first.IsZero() || p.fenced.Before(first)) {
			first = p.fenced
		}
	}
	if first.IsZero() {
		return first
	}
	return first.Add(c.config.SettleTime)
}

func (c *Coordinator) emitEnded(o Outcome) {
	e := Ended{Outcome: o, Cause: c.cause, CauseAgent: c.fault, MayBeRecorded: c.recording}
	for _, p := range c.peers {
		e.Members = append(e.Members, p.result())
	}
	c.actions = append(c.actions, e)
}

func (c *Coordinator) outcome() Outcome {
	switch {
	case c.all(StateEnded):
		return Done
	case c.provedNotStarted():
		return NotStarted
	case c.any(func(p *peer) bool { return p.task.Result == TaskFailed }):
		return Failed
	case c.any(func(p *peer) bool { return p.task.State != StateEnded || p.cutShort() }):
		return Lost
	}
	return Stopped
}

// cutShort says whether the task ended for want of its agent or target.
func (p *peer) cutShort() bool {
	return p.task.Result == TaskLost || p.task.Result == Isolated
}

// provedNotStarted says whether no task of the attempt started and none will.
// A Start is sent only by a planner that has seen all members committed at their
// planned incarnations, so each of these is a proof:
//
//   - no Commit was sent;
//   - a member never committed and has ended;
//   - all members have ended without a start;
//   - the owner sent no Start, and a member ended unstarted without having heard
//     of a higher epoch. A successor that sent a Start had raised the fence at
//     every member before, and this coordinator would be superseded.
func (c *Coordinator) provedNotStarted() bool {
	if !c.committing {
		return true
	}
	if c.any((*peer).neverCommitted) {
		return true
	}
	if !c.any(func(p *peer) bool { return !p.neverStarted() }) {
		return true
	}
	return !c.starting && c.any((*peer).neverStarted)
}

func (c *Coordinator) any(f func(*peer) bool) bool {
	for _, p := range c.peers {
		if f(p) {
			return true
		}
	}
	return false
}

// holdMargin is how long reserving and recording may take, so that the Commits
// still arrive within the hold.
func (c *Coordinator) holdMargin() time.Duration { return c.config.HoldTimeout * 3 / 4 }
