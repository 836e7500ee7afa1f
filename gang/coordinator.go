package gang

import "time"

// Coordinator takes one attempt from its plan to its end. It is not safe for
// concurrent use.
type Coordinator struct {
	config     Config
	plan       Plan
	peers      []*peer
	phase      phase
	successor  bool
	began      time.Time
	entered    time.Time // the phase
	recordSent time.Time
	recording  bool // the record may name the attempt
	committing bool // a Commit was sent, by this or an earlier planner
	starting   bool // a Start was or may have been sent
	checkpoint bool
	cause      Cause
	fault      string
	now        time.Time
	actions    []Action
}

// NewCoordinator returns the coordinator of a new attempt.
func NewCoordinator(c Config, p Plan) *Coordinator {
	co := &Coordinator{config: c, plan: p}
	for _, m := range p.Members {
		co.peers = append(co.peers, &peer{placed: m, incarnation: m.Incarnation})
	}
	return co
}

// ResumeCoordinator returns a coordinator for an attempt that a job's record names and that
// an earlier planner ran: it asks all members how far it got, forbids what was
// not committed, and either carries on or ends it.
func ResumeCoordinator(c Config, p Plan) *Coordinator {
	co := NewCoordinator(c, p)
	co.successor = true
	co.recording = true
	co.committing = true
	co.starting = true
	return co
}

// Step handles one event and returns what is to be done, in order.
func (c *Coordinator) Step(now time.Time, ev Event) []Action {
	c.now, c.actions = now, nil
	if c.phase == phaseEnded {
		return nil
	}
	c.take(ev)
	for c.advance() {
	}
	c.resend()
	c.wake()
	return c.actions
}

// Plan returns the plan that the coordinator was made with.
func (c *Coordinator) Plan() Plan { return c.plan }

// Running says whether all members have started and none is known to have ended
// otherwise than well.
func (c *Coordinator) Running() bool { return c.phase == phaseRunning }

// HasEnded says whether Ended was returned.
func (c *Coordinator) HasEnded() bool { return c.phase == phaseEnded }

// AllMembersAlive says whether all members are known to have run within Config.Window.
// Only then may a Contact name the attempt: members that are not renewed stop.
func (c *Coordinator) AllMembersAlive(now time.Time) bool {
	if c.phase != phaseRunning {
		return false
	}
	for _, p := range c.peers {
		if p.task.State != StateEnded && now.Sub(p.heard) > c.config.LivenessWindow {
			return false
		}
	}
	return true
}

func (c *Coordinator) take(ev Event) {
	switch ev := ev.(type) {
	case Begin:
		c.begin()
	case ReplyReceived:
		c.takeReply(ev.From, ev.Reply)
	case Reported:
		c.takeReport(ev)
	case Recorded:
		c.takeRecorded(ev.Result)
	case MemberLost:
		if p := c.peer(ev.Agent); p != nil {
			p.lost = true
		}
	case Abort:
		c.checkpoint = ev.Checkpoint
		c.abort(CauseAborted, "")
	}
}

func (c *Coordinator) begin() {
	if c.phase != phaseNew {
		return
	}
	if c.successor {
		c.ask()
		return
	}
	c.began = c.now
	c.enter(phaseReserving)
}

// ask begins a round of a successor's questions to all members.
func (c *Coordinator) ask() {
	c.began = c.now
	for _, p := range c.peers {
		p.answered = false
	}
	c.enter(phaseResolving)
}

func (c *Coordinator) peer(agent string) *peer {
	for _, p := range c.peers {
		if p.placed.Agent == agent {
			return p
		}
	}
	return nil
}

func (c *Coordinator) takeReply(from string, r Reply) {
	p := c.peer(from)
	if p == nil || r.Task.ID != c.plan.ID || r.Incarnation < p.incarnation {
		return
	}
	if c.superseded(p, r.Fence) {
		return
	}
	if r.Refusal == NotReady {
		return
	}
	if r.Fence == c.config.Epoch {
		p.fence(c.now)
	}
	switch r.Refusal {
	case Busy, Draining, Invalid:
		p.refusal = r.Refusal
	case WrongIncarnation, Forgotten:
		p.gone = p.task.State != StateEnded
	}
	p.learn(r.Task, r.Incarnation)
	if c.successor {
		p.answered = true
		p.hear(c.began)
	}
}

func (c *Coordinator) takeReport(r Reported) {
	p := c.peer(r.From)
	if p == nil || r.Incarnation < p.incarnation || c.superseded(p, r.Fence) {
		return
	}
	if r.Fence == c.config.Epoch {
		p.fence(c.now)
	}
	for _, t := range r.Tasks {
		if t.ID == c.plan.ID {
			p.learn(t, r.Incarnation)
			p.hear(r.Timestamp.evidence(c.config.Epoch, c.now))
			return
		}
	}
	// The same incarnation may have sent its report before it heard of the
	// attempt; a new one would list the task if its target still had it.
	if r.Incarnation > p.incarnation && p.task.State != StateEnded {
		p.gone = true
		p.fence(c.now)
	}
}

func (c *Coordinator) takeRecorded(r RecordResult) {
	if c.phase != phaseRecording {
		return
	}
	switch r {
	case RecordWritten:
		c.committing = true
		c.enter(phaseCommitting)
	case RecordConflict:
		c.recording = false
		c.abort(CauseConflict, "")
	}
}

// enter changes the phase and makes all messages of the new one due at once.
func (c *Coordinator) enter(p phase) {
	c.phase = p
	c.entered = c.now
	for _, peer := range c.peers {
		peer.sent = time.Time{}
	}
}
