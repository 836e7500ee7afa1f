package gang

func (m *Member) handleReceived(r Received) {
	h := r.Message.Head()
	if !m.ready {
		m.reply(r.From, Task{ID: h.ID}, NotReady)
		return
	}
	a := m.attempts[h.ID]
	// A planner that resumes after a pause must not start what a successor has
	// meanwhile proved not started.
	if h.Sender < m.fence {
		m.reply(r.From, taskOf(a, h.ID), StaleEpoch)
		return
	}
	m.fence = h.Sender
	refusal := m.handleMessage(a, r.Message)
	a = m.attempts[h.ID]
	if a != nil && a.task.State != StateEnded {
		a.replyTo = r.From
	}
	m.reply(r.From, taskOf(a, h.ID), refusal)
}

func taskOf(a *attempt, id ID) Task {
	if a == nil {
		return Task{ID: id}
	}
	return a.task
}

func (m *Member) handleMessage(a *attempt, msg Message) Refusal {
	if a == nil {
		return m.handleUnknownAttempt(msg)
	}
	switch msg := msg.(type) {
	case Reserve:
		return acceptIf(a.task.State != StateEnded, AlreadyEnded)
	case Commit:
		return m.commit(a)
	case Start:
		return m.start(a)
	case Stop:
		m.stop(a, msg.Checkpoint)
	case Seal:
		m.seal(a)
	}
	return Accepted
}

// handleUnknownAttempt handles a message for an attempt that the member does
// not know. Unless the message is for another incarnation or the attempt may
// have been forgotten, any message but a Reserve leaves a tombstone, so that a
// delayed Reserve can't begin the attempt after this answer.
func (m *Member) handleUnknownAttempt(msg Message) Refusal {
	h := msg.Head()
	if h.Incarnation != m.config.Incarnation {
		return WrongIncarnation
	}
	if h.ID.Compare(m.highestForgotten) <= 0 {
		return Forgotten
	}
	if msg, ok := msg.(Reserve); ok {
		return m.reserve(msg)
	}
	a := &attempt{task: Task{ID: h.ID}}
	m.attempts[h.ID] = a
	m.endAttempt(a)
	switch msg.(type) {
	case Stop, Seal:
		return Accepted
	}
	return AlreadyEnded
}

func (m *Member) reserve(r Reserve) Refusal {
	h := r.Header
	if h.Sender != h.ID.Epoch || r.Members < 1 || r.Hold <= 0 {
		return Invalid
	}
	if m.draining {
		return Draining
	}
	if refusal := m.checkAvailable(r.Accelerators); refusal != Accepted {
		return refusal
	}
	a := &attempt{
		task: Task{
			ID:           h.ID,
			State:        StateReserved,
			Accelerators: r.Accelerators,
			Members:      r.Members,
		},
		spec:     r.Spec,
		deadline: m.now.Add(r.Hold),
	}
	m.attempts[h.ID] = a
	m.assignAccelerators(a)
	return Accepted
}

func (m *Member) commit(a *attempt) Refusal {
	switch a.task.State {
	case StateEnded:
		return AlreadyEnded
	case StateReserved:
		a.task.State = StateCommitted
		a.task.Committed = true
	}
	return Accepted
}

func (m *Member) start(a *attempt) Refusal {
	switch a.task.State {
	case StateEnded:
		return AlreadyEnded
	case StateReserved:
		return Invalid
	case StateCommitted:
		a.task.State = StateRunning
		a.task.Started = true
		a.task.Unconfirmed = true
		a.setRunDeadline(m.now.Add(m.config.IsolationTimeout))
		m.actions = append(m.actions, StartTask{Task: a.task, Spec: a.spec})
		a.spec = nil
	}
	return Accepted
}

func (m *Member) stop(a *attempt, checkpoint bool) {
	switch a.task.State {
	case StateReserved, StateCommitted:
		m.endAttempt(a)
	case StateRunning, StateStopping:
		m.stopTask(a, checkpoint)
	case StateEnded:
		a.acknowledged = true
	}
}

func (m *Member) stopTask(a *attempt, checkpoint bool) {
	a.task.State = StateStopping
	m.actions = append(m.actions, StopTask{ID: a.task.ID, Checkpoint: checkpoint})
}

func (m *Member) seal(a *attempt) {
	if a.task.State == StateReserved {
		m.endAttempt(a)
	}
}

func acceptIf(ok bool, otherwise Refusal) Refusal {
	if ok {
		return Accepted
	}
	return otherwise
}
