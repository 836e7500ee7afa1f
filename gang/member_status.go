package gang

import "time"

// memberStatus is what a coordinator knows of one member.
type memberStatus struct {
	planned     PlannedMember
	task        Task      // its furthest account
	incarnation uint64    // highest heard of
	aliveAt     time.Time // up to when the task is known to have run
	fencedAt    time.Time // first sign that it refuses earlier planners
	sentAt      time.Time // last message
	refusal     Refusal   // of the reservation
	answered    bool      // in this round of a successor's questions
	taskGone    bool      // restarted without the task: its account is lost
	lost        bool      // MemberLost
}

// updateTask takes over an account unless it is older than what is known.
func (m *memberStatus) updateTask(t Task, incarnation uint64) {
	if incarnation < m.incarnation {
		return
	}
	m.incarnation = incarnation
	if t.State < m.task.State {
		return
	}
	m.task = t
}

// markAlive notes up to when the task is known to have been there.
func (m *memberStatus) markAlive(at time.Time) {
	if at.After(m.aliveAt) {
		m.aliveAt = at
	}
}

// markFenced notes that earlier planners can't act on the member any more, or see
// that the gang is not whole.
func (m *memberStatus) markFenced(now time.Time) {
	if m.fencedAt.IsZero() {
		m.fencedAt = now
	}
}

func (m *memberStatus) unanswered() bool { return !m.answered }

// released says whether nothing of the attempt runs or is held there any more.
func (m *memberStatus) released() bool { return m.task.State == StateEnded || m.taskGone || m.lost }

// reached says whether the attempt got to the state and is still whole there: a
// task that succeeded has passed all states.
func (m *memberStatus) reached(s State) bool {
	if m.task.State == StateEnded {
		return m.task.Result == Succeeded
	}
	return m.task.State >= s && m.task.State != StateStopping
}

// cannotComplete says whether the attempt can't be completed there.
func (m *memberStatus) cannotComplete() bool {
	if m.task.State == StateEnded {
		return m.task.Result != Succeeded
	}
	return m.taskGone || m.lost || m.task.State == StateStopping
}

// neverCommitted says whether the member proved that it never committed and
// never will. An account of another incarnation is no proof: the one that was
// asked to commit has lost its memory.
func (m *memberStatus) neverCommitted() bool {
	return m.task.State == StateEnded && !m.task.Committed
}

// neverStarted is the same for the start of the task.
func (m *memberStatus) neverStarted() bool {
	return m.task.State == StateEnded && !m.task.Started
}

// succeeded says whether the task did all of its work.
func (m *memberStatus) succeeded() bool {
	return m.task.State == StateEnded && m.task.Result == Succeeded
}

// awaitsStart says whether the member has committed and not been told to start yet.
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
