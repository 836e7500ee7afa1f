package gang

import "time"

// memberStatus is what a coordinator knows of one member.
type memberStatus struct {
	planned     PlannedMember
	task        Task      // in its most advanced state
	incarnation uint64    // highest known
	aliveAt     time.Time // when the task was last known to run
	fencedAt    time.Time // when it was first known to refuse earlier planners; zero if not
	sentAt      time.Time // when the last message was sent
	refusal     Refusal   // of the reservation
	answered    bool      // to the Seal of the current round
	taskGone    bool      // the agent restarted or has forgotten the task
	lost        bool      // MemberLost was received
}

// updateTask records the task unless it comes from an earlier incarnation or
// is in an earlier state than the known one.
func (m *memberStatus) updateTask(t Task, incarnation uint64) {
	if incarnation < m.incarnation {
		return
	}
	m.incarnation = incarnation
	if t.State < m.task.State {
		return
	}
	if t.State == m.task.State {
		t.Unconfirmed = t.Unconfirmed && m.task.Unconfirmed // replies can overtake each other
	}
	m.task = t
}

// markAlive records that the task was known to run at the given time.
func (m *memberStatus) markAlive(at time.Time) {
	if at.After(m.aliveAt) {
		m.aliveAt = at
	}
}

// markFenced records that earlier planners can no longer act on the member, or
// no longer see all members of its gang alive.
func (m *memberStatus) markFenced(now time.Time) {
	if m.fencedAt.IsZero() {
		m.fencedAt = now
	}
}

func (m *memberStatus) unanswered() bool { return !m.answered }

// released reports whether nothing of the attempt runs or is held on the
// member any more.
func (m *memberStatus) released() bool { return m.task.State == StateEnded || m.taskGone || m.lost }

// reached reports whether the attempt got to state s on the member and is not
// being stopped. A task that succeeded has passed all states.
func (m *memberStatus) reached(s State) bool {
	if m.task.State == StateEnded {
		return m.task.Result == Succeeded
	}
	return m.task.State >= s && m.task.State != StateStopping
}

// cannotComplete reports whether the attempt can no longer succeed on the
// member.
func (m *memberStatus) cannotComplete() bool {
	if m.task.State == StateEnded {
		return m.task.Result != Succeeded
	}
	return m.taskGone || m.lost || m.task.State == StateStopping
}

// neverCommitted reports whether the member has proved that it never committed
// and never will. An incarnation that has restarted proves nothing, because
// the one that was asked to commit has lost its memory.
func (m *memberStatus) neverCommitted() bool {
	return m.task.State == StateEnded && !m.task.Committed
}

// neverStarted reports whether the member has proved that it never started the
// task and never will.
func (m *memberStatus) neverStarted() bool {
	return m.task.State == StateEnded && !m.task.Started
}

// succeeded reports whether the task ended with success.
func (m *memberStatus) succeeded() bool {
	return m.task.State == StateEnded && m.task.Result == Succeeded
}

// awaitsStart reports whether the member has committed and not started.
func (m *memberStatus) awaitsStart() bool { return m.task.State == StateCommitted }

func (m *memberStatus) result() MemberResult {
	return MemberResult{
		Agent:        m.planned.Agent,
		Started:      m.task.Started,
		Result:       m.task.Result,
		Checkpointed: m.task.Checkpointed,
		Detail:       m.task.Detail,
	}
}
