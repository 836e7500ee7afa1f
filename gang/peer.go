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
func (p *memberStatus) updateTask(t Task, incarnation uint64) {
	if incarnation < p.incarnation {
		return
	}
	p.incarnation = incarnation
	if t.State < p.task.State {
		return
	}
	p.task = t
}

// markAlive notes up to when the task is known to have been there.
func (p *memberStatus) markAlive(at time.Time) {
	if at.After(p.aliveAt) {
		p.aliveAt = at
	}
}

// markFenced notes that earlier planners can't act on the member any more, or see
// that the gang is not whole.
func (p *memberStatus) markFenced(now time.Time) {
	if p.fencedAt.IsZero() {
		p.fencedAt = now
	}
}

func (p *memberStatus) unanswered() bool { return !p.answered }

// released says whether nothing of the attempt runs or is held there any more.
func (p *memberStatus) released() bool { return p.task.State == StateEnded || p.taskGone || p.lost }

// reached says whether the attempt got to the state and is still whole there: a
// task that succeeded has passed all states.
func (p *memberStatus) reached(s State) bool {
	if p.task.State == StateEnded {
		return p.task.Result == Succeeded
	}
	return p.task.State >= s && p.task.State != StateStopping
}

// cannotComplete says whether the attempt can't be completed there.
func (p *memberStatus) cannotComplete() bool {
	if p.task.State == StateEnded {
		return p.task.Result != Succeeded
	}
	return p.taskGone || p.lost || p.task.State == StateStopping
}

// neverCommitted says whether the member proved that it never committed and
// never will. An account of another incarnation is no proof: the one that was
// asked to commit has lost its memory.
func (p *memberStatus) neverCommitted() bool {
	return p.task.State == StateEnded && !p.task.Committed
}

// neverStarted is the same for the start of the task.
func (p *memberStatus) neverStarted() bool {
	return p.task.State == StateEnded && !p.task.Started
}

// succeeded says whether the task did all of its work.
func (p *memberStatus) succeeded() bool {
	return p.task.State == StateEnded && p.task.Result == Succeeded
}

// awaitsStart says whether the member has committed and not been told to start yet.
func (p *memberStatus) awaitsStart() bool { return p.task.State == StateCommitted }

func (p *memberStatus) result() MemberResult {
	return MemberResult{
		Agent:        p.planned.Agent,
		Started:      p.task.Started,
		Result:       p.task.Result,
		Checkpointed: p.task.Checkpointed,
		Detail:       p.task.Detail,
	}
}
