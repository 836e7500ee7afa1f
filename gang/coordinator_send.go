package gang

import "time"

// resend sends what is due: at once in a new phase, then every Config.Resend
// until answered.
func (c *Coordinator) resend() {
	if c.phase == phaseRecording && c.due(c.recordSent) {
		c.recordSent = c.now
		c.actions = append(c.actions, Record{Plan: c.plan})
	}
	for _, p := range c.peers {
		if c.awaits(p) && c.due(p.sent) {
			p.sent = c.now
			c.actions = append(c.actions, Send{To: p.placed.Agent, Message: c.message(p)})
		}
	}
}

func (c *Coordinator) due(sent time.Time) bool {
	return sent.IsZero() || !c.now.Before(sent.Add(c.config.ResendInterval))
}

// awaits says whether the phase waits for an answer of the member.
func (c *Coordinator) awaits(p *peer) bool {
	switch c.phase {
	case phaseReserving:
		return !p.reached(StateReserved)
	case phaseResolving:
		return p.unanswered()
	case phaseCommitting:
		return !p.reached(StateCommitted)
	case phaseStarting:
		return !p.reached(StateRunning)
	case phaseStopping:
		return !p.over()
	}
	return false
}

func (c *Coordinator) message(p *peer) Message {
	h := c.header(p)
	switch c.phase {
	case phaseReserving:
		return Reserve{
			Header:       h,
			Accelerators: p.placed.Accelerators,
			Members:      len(c.peers),
			Hold:         c.config.HoldTimeout,
			Spec:         p.placed.Spec,
		}
	case phaseResolving:
		return Seal{Header: h}
	case phaseCommitting:
		return Commit{Header: h}
	case phaseStarting:
		return Start{Header: h}
	}
	return Stop{Header: h, Checkpoint: c.checkpoint}
}

func (c *Coordinator) header(p *peer) Header {
	return Header{ID: c.plan.ID, Sender: c.config.Epoch, Incarnation: p.placed.Incarnation}
}

func (c *Coordinator) sendStop(p *peer) {
	m := Stop{Header: c.header(p), Checkpoint: c.checkpoint}
	c.actions = append(c.actions, Send{To: p.placed.Agent, Message: m})
}

// wake asks for the earliest deadline.
func (c *Coordinator) wake() {
	next := time.Time{}
	earlier := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	switch c.phase {
	case phaseReserving:
		earlier(c.began.Add(c.holdMargin()))
	case phaseRecording:
		earlier(c.began.Add(c.holdMargin()))
		earlier(c.recordSent.Add(c.config.ResendInterval))
	case phaseStarting:
		earlier(c.entered.Add(c.config.startWithin()))
	case phaseStopping:
		if at := c.settled(); at.After(c.now) {
			earlier(at)
		}
	}
	for _, p := range c.peers {
		if c.awaits(p) {
			earlier(p.sent.Add(c.config.ResendInterval))
		}
	}
	if !next.IsZero() {
		c.actions = append(c.actions, WakeAt{At: next})
	}
}
