package gang

import "time"

// Coordinator runs one attempt from its plan to its end. It is not safe for
// concurrent use.
type Coordinator struct {
	config           Config
	plan             Plan
	members          []*memberStatus
	phase            phase
	successor        bool
	beganAt          time.Time // of the attempt, or of the current round of Seals
	phaseEnteredAt   time.Time
	recordSentAt     time.Time
	mayBeRecorded    bool // the job's record may name the attempt
	commitSent       bool // a Commit was sent, or may have been by an earlier planner
	startSent        bool // a Start was sent, or may have been by an earlier planner
	checkpointOnStop bool
	cause            Cause
	causeAgent       string
	now              time.Time
	actions          []Action
}

// NewCoordinator returns the coordinator of a new attempt.
func NewCoordinator(c Config, p Plan) *Coordinator {
	co := &Coordinator{config: c, plan: p}
	for _, m := range p.Members {
		co.members = append(co.members, &memberStatus{planned: m, incarnation: m.Incarnation})
	}
	return co
}

// ResumeCoordinator returns a coordinator for an attempt of an earlier
// planner. It asks all members how far the attempt got, prevents further
// commits, and either completes or ends the attempt.
func ResumeCoordinator(c Config, p Plan) *Coordinator {
	co := NewCoordinator(c, p)
	co.successor = true
	co.mayBeRecorded = true
	co.commitSent = true
	co.startSent = true
	return co
}

// Step handles one event and returns what is to be done, in order.
func (c *Coordinator) Step(now time.Time, ev Event) []Action {
	c.now, c.actions = now, nil
	if c.phase == phaseEnded {
		return nil
	}
	c.handleEvent(ev)
	for c.advance() {
	}
	c.sendDueMessages()
	c.scheduleWake()
	return c.actions
}

// Plan returns the plan of the attempt.
func (c *Coordinator) Plan() Plan { return c.plan }

// Running reports whether all members have started and none is known to have
// ended without success.
func (c *Coordinator) Running() bool { return c.phase == phaseRunning }

// RetainSucceeded sets Config.RetainSucceeded, for an attempt of which it turns
// out only after its beginning that no record will name it.
func (c *Coordinator) RetainSucceeded() { c.config.RetainSucceeded = true }

// StartsConfirmed reports whether no target is known to owe the answer to a
// start.
func (c *Coordinator) StartsConfirmed() bool {
	return !c.anyMember(func(m *memberStatus) bool { return m.task.Unconfirmed })
}

// HasEnded reports whether Ended was returned.
func (c *Coordinator) HasEnded() bool { return c.phase == phaseEnded }

// AllMembersAlive reports whether all members that have not ended are known to
// have run within Config.LivenessWindow. Only then may a ReportAnswered renew
// the attempt; members that are not renewed stop.
func (c *Coordinator) AllMembersAlive(now time.Time) bool {
	if c.phase != phaseRunning {
		return false
	}
	for _, m := range c.members {
		if m.task.State != StateEnded && now.Sub(m.aliveAt) > c.config.LivenessWindow {
			return false
		}
	}
	return true
}

func (c *Coordinator) handleEvent(ev Event) {
	switch ev := ev.(type) {
	case Begin:
		c.begin()
	case ReplyReceived:
		c.handleReply(ev)
	case Reported:
		c.handleReport(ev)
	case Recorded:
		c.handleRecorded(ev.Result)
	case MemberLost:
		if m := c.member(ev.Agent); m != nil {
			m.lost = true
		}
	case Abort:
		c.checkpointOnStop = ev.Checkpoint
		c.abort(CauseAborted, "")
	}
}

func (c *Coordinator) begin() {
	if c.phase != phaseNew {
		return
	}
	if c.successor {
		c.startResolving()
		return
	}
	c.beganAt = c.now
	c.enterPhase(phaseReserving)
}

// startResolving begins a round in which a successor sends Seal to all
// members.
func (c *Coordinator) startResolving() {
	c.beganAt = c.now
	for _, m := range c.members {
		m.answered = false
	}
	c.enterPhase(phaseResolving)
}

func (c *Coordinator) member(agent string) *memberStatus {
	for _, m := range c.members {
		if m.planned.Agent == agent {
			return m
		}
	}
	return nil
}

func (c *Coordinator) handleReply(ev ReplyReceived) {
	m, r := c.member(ev.From), ev.Reply
	if m == nil || r.Task.ID != c.plan.ID || r.Incarnation < m.incarnation {
		return
	}
	if c.endIfSuperseded(m, r.Fence) {
		return
	}
	if r.Refusal == NotReady {
		return
	}
	if r.Fence == c.config.Epoch {
		m.markFenced(c.now)
	}
	switch r.Refusal {
	case Busy, Draining, Invalid:
		m.refusal = r.Refusal
	case WrongIncarnation, Forgotten:
		m.taskGone = m.task.State != StateEnded
	}
	m.updateTask(r.Task, r.Incarnation)
	// A reply to an earlier round may be so old that the task has stopped by
	// isolation since. How old one is that answers nothing is not known.
	if c.successor && !ev.SentAt.Before(c.beganAt) {
		m.answered = true
		m.markAlive(c.beganAt)
	}
}

func (c *Coordinator) handleReport(r Reported) {
	m := c.member(r.From)
	if m == nil || r.Incarnation < m.incarnation || c.endIfSuperseded(m, r.Fence) {
		return
	}
	if r.Fence == c.config.Epoch {
		m.markFenced(c.now)
	}
	for _, t := range r.Tasks {
		if t.ID == c.plan.ID {
			m.updateTask(t, r.Incarnation)
			m.markAlive(r.Timestamp.reportTime(c.config.Epoch, c.now))
			return
		}
	}
	// A report of the same incarnation may have been sent before it knew of
	// the attempt. A new incarnation would list the task if its target still
	// had it.
	if r.Incarnation > m.incarnation && m.task.State != StateEnded {
		m.taskGone = true
		m.markFenced(c.now)
	}
}

func (c *Coordinator) handleRecorded(r RecordResult) {
	if c.phase != phaseRecording {
		return
	}
	switch r {
	case RecordWritten:
		c.commitSent = true
		c.enterPhase(phaseCommitting)
	case RecordConflict:
		c.mayBeRecorded = false
		c.abort(CauseConflict, "")
	}
}

// enterPhase changes the phase and makes all messages of the new phase due at
// once.
func (c *Coordinator) enterPhase(next phase) {
	c.phase = next
	c.phaseEnteredAt = c.now
	for _, m := range c.members {
		m.sentAt = time.Time{}
	}
}
