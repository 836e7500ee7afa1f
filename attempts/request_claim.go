package attempts

func (r *Request) claimed(ev ClaimReply) {
	switch r.step {
	case stepClaiming:
		r.claimTaken(ev)
	case stepReplacing:
		r.claimTaken(ev)
	case stepReleasing:
		r.claimReleased(ev)
	}
}

// claimTaken follows an attempt to make the own claim the key's one.
func (r *Request) claimTaken(ev ClaimReply) {
	switch ev.Result {
	case ClaimWritten:
		r.begin()
	case ClaimConflict:
		r.follow(ev.Claim)
	case ClaimGone:
		r.do(stepClaiming, WriteClaim{Claim: r.own})
	case ClaimUnavailable:
		r.withoutStore()
	}
}

// begin sends the attempt, unless the deadline has passed meanwhile: then it was
// not sent and the claim is worth nothing.
func (r *Request) begin() {
	if r.stale() {
		r.unknown(ReasonDeadline)
		return
	}
	if r.expired() {
		r.release(r.own, ReasonDeadline)
		return
	}
	r.send()
}

// stale says whether the delivery is so old that the key may have had another
// claim, now expired, after the delivery arrived.
func (r *Request) stale() bool {
	return r.now.Sub(r.own.ID.issuedAt()) >= r.config.MaxAge
}

// follow resolves another delivery's claim to give the caller the same answer.
func (r *Request) follow(c Claim) {
	if c.Fingerprint != r.own.Fingerprint {
		r.finish(Finished{Outcome: NotRun, Reason: ReasonKeyReused})
		return
	}
	r.resolve(c)
}

// withoutStore answers when the store could not be asked and nothing was sent.
// An earlier delivery under the key may have run, and only the store knows of
// it: to call this one "not run" would make the caller book a second time.
func (r *Request) withoutStore() {
	if r.config.FirstDelivery && r.step == stepClaiming {
		r.notRun(ReasonStoreUnavailable)
		return
	}
	r.unknown(ReasonStoreUnavailable)
}

// claimReleased follows the removal of a claim whose attempt was proved not run.
func (r *Request) claimReleased(ev ClaimReply) {
	switch ev.Result {
	case ClaimWritten, ClaimGone:
		// A claim goes only after the proof that its attempt did not run, or by
		// its age, which stale excludes. So where there is none left, because
		// another delivery had the same proof and was faster, nothing has run.
		if r.stale() {
			r.unknown(r.reason)
			return
		}
		r.notRun(r.reason)
	case ClaimConflict:
		r.follow(ev.Claim)
	case ClaimUnavailable:
		r.unknown(ReasonStoreUnavailable)
	}
}
