package attempts

func (r *Request) handleBeginReply(ev BeginReply) {
	if ev.ID != r.own.ID || r.state != stateSent && r.state != stateResolving {
		return
	}
	switch {
	case ev.Interrupted:
		r.finishUnknown(ReasonOutcomeLost)
	case ev.Result == BeginRefuse, ev.Result == BeginUnknown:
		// The attempt was sent once, so the refused message was the only one, and
		// neither a floor nor an incarnation ever goes back.
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

// handleProvedNotRun follows the proof that the claim's attempt did not run and never
// will. If the own attempt was not sent yet it takes the claim's place. Otherwise
// the claim is released first: if that fails because another delivery has
// replaced it, the request may be running there, and saying "not run" would be
// wrong.
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

// checkDeadline ends what can't end in time. While the store is asked the
// request waits for its answer, which the shell bounds.
func (r *Request) checkDeadline() {
	if !r.pastDeadline() {
		return
	}
	switch r.state {
	case stateSent, stateResolving:
		r.finishUnknown(ReasonDeadline)
	}
}
