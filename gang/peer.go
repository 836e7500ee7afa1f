package gang

import "time"

// peer is what a coordinator knows of one member.
type peer struct {
	placed      PlannedMember
	task        Task      // its furthest account
	incarnation uint64    // highest heard of
	heard       time.Time // up to when the task is known to have run
	fenced      time.Time // first sign that it refuses earlier planners
	sent        time.Time // last message
	refusal     Refusal   // of the reservation
	answered    bool      // in this round of a successor's questions
	gone        bool      // restarted without the task: its account is lost
	lost        bool      // MemberLost
}

// learn takes over an account unless it is older than what is known.
func (p *peer) learn(t Task, incarnation uint64) {
	if incarnation < p.incarnation {
		return
	}
	p.incarnation = incarnation
	if t.State < p.task.State {
		return
	}
	p.task = t
}

// hear notes up to when the task is known to have been there.
func (p *peer) hear(at time.Time) {
	if at.After(p.heard) {
		p.heard = at
	}
}

// fence notes that earlier planners can't act on the member any more, or see
// that the gang is not whole.
func (p *peer) fence(now time.Time) {
	if p.fenced.IsZero() {
		p.fenced = now
	}
}

func (p *peer) unanswered() bool { return !p.answered }

// over says whether nothing of the attempt runs or is held there any more.
func (p *peer) over() bool { return p.task.State == StateEnded || p.gone || p.lost }

// reached says whether the attempt got to the state and is still whole there: a
// task that succeeded has passed all states.
func (p *peer) reached(s State) bool {
	if p.task.State == StateEnded {
		return p.task.Result == Succeeded
	}
	return p.task.State >= s && p.task.State != StateStopping
}

// broken says whether the attempt can't be completed there.
func (p *peer) broken() bool {
	if p.task.State == StateEnded {
		return p.task.Result != Succeeded
	}
	return p.gone || p.lost || p.task.State == StateStopping
}

// neverCommitted says whether the member proved that it never committed and
// never will. An account of another incarnation is no proof: the one that was
// asked to commit has lost its memory.
func (p *peer) neverCommitted() bool {
	return p.task.State == StateEnded && !p.task.Committed
}

// neverStarted is the same for the start of the task.
func (p *peer) neverStarted() bool {
	return p.task.State == StateEnded && !p.task.Started
}

// succeeded says whether the task did all of its work.
func (p *peer) succeeded() bool {
	return p.task.State == StateEnded && p.task.Result == Succeeded
}

// unstarted says whether the member has committed and not been told to start yet.
func (p *peer) unstarted() bool { return p.task.State == StateCommitted }

func (p *peer) result() MemberResult {
	return MemberResult{
		Agent:        p.placed.Agent,
		Started:      p.task.Started,
		Result:       p.task.Result,
		Checkpointed: p.task.Checkpointed,
		Detail:       p.task.Detail,
	}
}
