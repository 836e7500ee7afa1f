package gang

import "time"

// sendDueMessages sends the messages that are due: at once in a new phase,
// then every Config.ResendInterval until they are answered.
func (c *Coordinator) sendDueMessages() {
	if c.phase == phaseRecording && c.due(c.recordSentAt) {
		c.recordSentAt = c.now
		c.actions = append(c.actions, Record{Plan: c.plan})
	}
	for _, m := range c.members {
		if c.awaitsReply(m) && c.due(m.sentAt) {
			m.sentAt = c.now
			c.actions = append(c.actions, Send{To: m.planned.Agent, Message: c.nextMessage(m)})
		}
	}
}

func (c *Coordinator) due(sent time.Time) bool {
	return sent.IsZero() || !c.now.Before(sent.Add(c.config.ResendInterval))
}

// awaitsReply reports whether the current phase needs a reply of the member.
func (c *Coordinator) awaitsReply(m *memberStatus) bool {
	switch c.phase {
	case phaseReserving:
		return !m.reached(StateReserved)
	case phaseResolving:
		return m.unanswered()
	case phaseCommitting:
		return !m.reached(StateCommitted)
	case phaseStarting:
		return !m.reached(StateRunning)
	case phaseStopping:
		return !m.released()
	}
	return false
}

func (c *Coordinator) nextMessage(m *memberStatus) Message {
	h := c.header(m)
	switch c.phase {
	case phaseReserving:
		return Reserve{
			Header:       h,
			Accelerators: m.planned.Accelerators,
			Members:      len(c.members),
			Hold:         c.config.HoldTimeout,
			Spec:         m.planned.Spec,
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

func (c *Coordinator) header(m *memberStatus) Header {
	return Header{ID: c.plan.ID, Sender: c.config.Epoch, Incarnation: m.planned.Incarnation}
}

func (c *Coordinator) sendStop(m *memberStatus) {
	stop := Stop{Header: c.header(m), Checkpoint: c.checkpointOnStop}
	c.actions = append(c.actions, Send{To: m.planned.Agent, Message: stop})
}

// scheduleWake requests a Wake at the earliest deadline.
func (c *Coordinator) scheduleWake() {
	next := time.Time{}
	addDeadline := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	switch c.phase {
	case phaseReserving:
		addDeadline(c.beganAt.Add(c.recordTimeout()))
	case phaseRecording:
		addDeadline(c.beganAt.Add(c.recordTimeout()))
		addDeadline(c.recordSentAt.Add(c.config.ResendInterval))
	case phaseStarting:
		addDeadline(c.phaseEnteredAt.Add(c.config.startTimeout()))
	case phaseStopping:
		if at := c.lostMembersStoppedAt(); at.After(c.now) {
			addDeadline(at)
		}
	}
	for _, m := range c.members {
		if c.awaitsReply(m) {
			addDeadline(m.sentAt.Add(c.config.ResendInterval))
		}
	}
	if !next.IsZero() {
		c.actions = append(c.actions, WakeAt{At: next})
	}
}
