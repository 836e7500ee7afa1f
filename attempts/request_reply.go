package attempts

func (r *Request) begun(ev BeginReply) {
	if ev.ID != r.own.ID || r.step != stepSent && r.step != stepResolving {
		return
	}
	switch {
	case ev.Interrupted:
		r.unknown(ReasonOutcomeLost)
	case ev.Result == BeginRefuse, ev.Result == BeginUnknown:
		// The attempt was sent once, so the refused message was the only one, and
		// neither a floor nor an incarnation ever goes back.
		r.provedNotRun(r.own)
	default:
		r.finish(Finished{Outcome: Done, Answer: ev.Answer})
	}
}

func (r *Request) resolved(ev ResolveReply) {
	if r.step != stepResolving || ev.ID != r.watched.ID {
		return
	}
	switch ev.Status {
	case StatusAnswered:
		r.finish(Finished{Outcome: Done, Answer: ev.Answer})
	case StatusNotRun:
		r.provedNotRun(r.watched)
	case StatusUnknown, StatusRan:
		r.unknown(ReasonOutcomeLost)
	}
}

// provedNotRun follows the proof that the claim's attempt did not run and never
// will. If the own attempt was not sent yet it takes the claim's place. Otherwise
// the claim is released first: if that fails because another delivery has
// replaced it, the request may be running there, and saying "not run" would be
// wrong.
func (r *Request) provedNotRun(c Claim) {
	switch {
	case !r.config.HasKey:
		r.notRun(ReasonRefused)
	case r.spent:
		r.release(c, ReasonRefused)
	case r.expired():
		r.release(c, ReasonDeadline)
	default:
		r.do(stepReplacing, ReplaceClaim{Old: c, New: r.own})
	}
}

func (r *Request) release(c Claim, why Reason) {
	r.reason = why
	r.do(stepReleasing, ReleaseClaim{Claim: c})
}

func (r *Request) expired() bool { return !r.now.Before(r.config.Deadline) }

// checkDeadline ends what can't end in time. While the store is asked the
// request waits for its answer, which the shell bounds.
func (r *Request) checkDeadline() {
	if !r.expired() {
		return
	}
	switch r.step {
	case stepSent, stepResolving:
		r.unknown(ReasonDeadline)
	}
}
