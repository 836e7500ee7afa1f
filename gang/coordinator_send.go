package gang

import "time"

// sendDueMessages sends what is due: at once in a new phase, then every Config.Resend
// until answered.
func (c *Coordinator) sendDueMessages() {
	if c.phase == phaseRecording && c.due(c.recordSentAt) {
		c.recordSentAt = c.now
		c.actions = append(c.actions, Record{Plan: c.plan})
	}
	for _, p := range c.members {
		if c.awaitsReply(p) && c.due(p.sentAt) {
			p.sentAt = c.now
			c.actions = append(c.actions, Send{To: p.planned.Agent, Message: c.nextMessage(p)})
		}
	}
}

func (c *Coordinator) due(sent time.Time) bool {
	return sent.IsZero() || !c.now.Before(sent.Add(c.config.ResendInterval))
}

// awaitsReply says whether the phase waits for an answer of the member.
func (c *Coordinator) awaitsReply(p *memberStatus) bool {
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
		return !p.released()
	}
	return false
}

func (c *Coordinator) nextMessage(p *memberStatus) Message {
	h := c.header(p)
	switch c.phase {
	case phaseReserving:
		return Reserve{
			Header:       h,
			Accelerators: p.planned.Accelerators,
			Members:      len(c.members),
			Hold:         c.config.HoldTimeout,
			Spec:         p.planned.Spec,
		}
	case phaseResolving:
		return Seal{Header: h}
	case phaseCommitting:
		return Commit{Header: h}
	case phaseStarting:
		return Start{Header: h}
	}
	return Stop{Header: h, Checkpoint: c.checkpointOnStop}
}

func (c *Coordinator) header(p *memberStatus) Header {
	return Header{ID: c.plan.ID, Sender: c.config.Epoch, Incarnation: p.planned.Incarnation}
}

func (c *Coordinator) sendStop(p *memberStatus) {
	m := Stop{Header: c.header(p), Checkpoint: c.checkpointOnStop}
	c.actions = append(c.actions, Send{To: p.planned.Agent, Message: m})
}

// scheduleWake asks for the earliest deadline.
func (c *Coordinator) scheduleWake() {
	next := time.Time{}
	earlier := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	switch c.phase {
	case phaseReserving:
		earlier(c.beganAt.Add(c.recordTimeout()))
	case phaseRecording:
		earlier(c.beganAt.Add(c.recordTimeout()))
		earlier(c.recordSentAt.Add(c.config.ResendInterval))
	case phaseStarting:
		earlier(c.phaseEnteredAt.Add(c.config.startTimeout()))
	case phaseStopping:
		if at := c.lostMembersStoppedAt(); at.After(c.now) {
			earlier(at)
		}
	}
	for _, p := range c.members {
		if c.awaitsReply(p) {
			earlier(p.sentAt.Add(c.config.ResendInterval))
		}
	}
	if !next.IsZero() {
		c.actions = append(c.actions, WakeAt{At: next})
	}
}
