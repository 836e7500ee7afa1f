package attempts

func (r *Request) handleBeginReply(ev BeginReply) {
	if ev.ID != r.own.ID || r.state != stateSent && r.state != stateResolving {
		return
	}
	switch {
	case ev.Interrupted:
		r.finishUnknown(ReasonOutcomeLost)
	case ev.Result == BeginRefuse, ev.Result == BeginUnknown:
		// The attempt was sent only once, so the refused message was the only one.
		// It can't be accepted later, since neither Table.highestEvicted nor an
		// incarnation ever decreases.
		r.handleProvedNotRun(r.own)
	default:
		r.finish(Finished{Outcome: Done, Answer: ev.Answer})
	}
}

func (r *Request) handleResolveReply(ev ResolveReply) {
	if r.state != stateResolving || ev.ID != r.resolving.ID {
		return
	}
	switch ev.Status {
	case StatusAnswered:
		r.finish(Finished{Outcome: Done, Answer: ev.Answer})
	case StatusNotRun:
		r.handleProvedNotRun(r.resolving)
	case StatusUnknown, StatusRan:
		r.finishUnknown(ReasonOutcomeLost)
	}
}

// handleProvedNotRun continues after the proof that the claim's attempt did not run
// and never will. If the own attempt was not sent yet, its claim replaces the other.
// Otherwise the claim is released before NotRun is answered: if another delivery
// has replaced it, the request may be running there.
func (r *Request) handleProvedNotRun(c Claim) {
	switch {
	case !r.config.HasKey:
		r.finishNotRun(ReasonRefused)
	case r.sent:
		r.release(c, ReasonRefused)
	case r.pastDeadline():
		r.release(c, ReasonDeadline)
	default:
		r.transition(stateReplacing, ReplaceClaim{Old: c, New: r.own})
	}
}

func (r *Request) release(c Claim, reason Reason) {
	r.releaseReason = reason
	r.transition(stateReleasing, ReleaseClaim{Claim: c})
}

func (r *Request) pastDeadline() bool { return !r.now.Before(r.config.Deadline) }

// checkDeadline finishes a request that waits for the agent past its deadline. Store
// operations are not interrupted; their caller bounds them.
func (r *Request) checkDeadline() {
	if !r.pastDeadline() {
		return
	}
	switch r.state {
	case stateSent, stateResolving:
		r.finishUnknown(ReasonDeadline)
	}
}
