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

// handleOwnClaimReply handles the reply to an attempt to make own the key's claim.
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

// begin sends the attempt after its claim was written. It finishes a delivery that
// is past its maximum age instead, and releases the claim if the deadline has passed.
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

// pastMaxAge reports whether the delivery is so old that the key may have had
// another claim, now expired, after the delivery arrived.
func (r *Request) pastMaxAge() bool {
	return r.now.Sub(r.own.ID.issuedAt()) >= r.config.MaxAge
}

// resolveOther resolves the claim of another delivery, to give the caller the same
// answer.
func (r *Request) resolveOther(c Claim) {
	if c.Fingerprint != r.own.Fingerprint {
		r.finish(Finished{Outcome: NotRun, Reason: ReasonKeyReused})
		return
	}
	r.resolve(c)
}

// finishWithoutStore finishes a request that was not sent because the store is
// unavailable. An earlier delivery of the key may have run, which only the store
// knows. After NotRun, the caller could make the request again under another key
// and have it run twice.
func (r *Request) finishWithoutStore() {
	if r.config.FirstDelivery && r.state == stateClaiming {
		r.finishNotRun(ReasonStoreUnavailable)
		return
	}
	r.finishUnknown(ReasonStoreUnavailable)
}

// handleReleaseReply handles the reply to the release of a claim whose attempt was
// proved not to have run.
func (r *Request) handleReleaseReply(ev ClaimReply) {
	switch ev.Result {
	case ClaimWritten, ClaimGone:
		// A claim disappears only after the proof that its attempt did not run, or
		// when it expires, which pastMaxAge excludes. So if another delivery with
		// the same proof has already removed it, the request has not run.
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
