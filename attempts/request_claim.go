package attempts

func (r *Request) handleClaimReply(ev ClaimReply) {
	switch r.state {
	case stateClaiming:
		r.handleOwnClaimReply(ev)
	case stateReplacing:
		r.handleOwnClaimReply(ev)
	case stateReleasing:
		r.handleReleaseReply(ev)
	}
}

// handleOwnClaimReply follows an attempt to make the own claim the key's one.
func (r *Request) handleOwnClaimReply(ev ClaimReply) {
	switch ev.Result {
	case ClaimWritten:
		r.begin()
	case ClaimConflict:
		r.resolveOther(ev.Claim)
	case ClaimGone:
		r.transition(stateClaiming, WriteClaim{Claim: r.own})
	case ClaimUnavailable:
		r.finishWithoutStore()
	}
}

// begin sends the attempt, unless the deadline has passed meanwhile: then it was
// not sent and the claim is worth nothing.
func (r *Request) begin() {
	if r.pastMaxAge() {
		r.finishUnknown(ReasonDeadline)
		return
	}
	if r.pastDeadline() {
		r.release(r.own, ReasonDeadline)
		return
	}
	r.send()
}

// pastMaxAge says whether the delivery is so old that the key may have had another
// claim, now expired, after the delivery arrived.
func (r *Request) pastMaxAge() bool {
	return r.now.Sub(r.own.ID.issuedAt()) >= r.config.MaxAge
}

// resolveOther resolves another delivery's claim to give the caller the same answer.
func (r *Request) resolveOther(c Claim) {
	if c.Fingerprint != r.own.Fingerprint {
		r.finish(Finished{Outcome: NotRun, Reason: ReasonKeyReused})
		return
	}
	r.resolve(c)
}

// finishWithoutStore answers when the store could not be asked and nothing was sent.
// An earlier delivery under the key may have run, and only the store knows of
// it: to call this one "not run" would make the caller book a second time.
func (r *Request) finishWithoutStore() {
	if r.config.FirstDelivery && r.state == stateClaiming {
		r.finishNotRun(ReasonStoreUnavailable)
		return
	}
	r.finishUnknown(ReasonStoreUnavailable)
}

// handleReleaseReply follows the removal of a claim whose attempt was proved not run.
func (r *Request) handleReleaseReply(ev ClaimReply) {
	switch ev.Result {
	case ClaimWritten, ClaimGone:
		// A claim goes only after the proof that its attempt did not run, or by
		// its age, which stale excludes. So where there is none left, because
		// another delivery had the same proof and was faster, nothing has run.
		if r.pastMaxAge() {
			r.finishUnknown(r.releaseReason)
			return
		}
		r.finishNotRun(r.releaseReason)
	case ClaimConflict:
		r.resolveOther(ev.Claim)
	case ClaimUnavailable:
		r.finishUnknown(ReasonStoreUnavailable)
	}
}
