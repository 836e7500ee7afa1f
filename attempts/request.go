package attempts

import "time"

// RequestConfig holds the settings of a Request.
type RequestConfig struct {
	// HasKey is set if the caller gave a key, under which it may deliver the request
	// again. A request without a key has one delivery and needs no claim.
	HasKey bool
	// FirstDelivery is set if the caller guarantees that this is the first delivery
	// under the key. While the store is unavailable, NotRun can be answered only then.
	FirstDelivery bool
	Deadline      time.Time
	// PollInterval is the time after which a SendResolve is repeated.
	PollInterval time.Duration
	// RetryAfter is returned in Finished if the caller may try again.
	RetryAfter time.Duration
	// MaxAge is TableConfig.MaxAge. After a pause of its entry, a delivery older than
	// that can't prove that the request did not run, since an earlier claim of its key
	// may have expired.
	MaxAge time.Duration
}

// Request is one delivery of a request that must not run twice. The times passed
// to it are wall-clock times, like ID.Issued. It is not safe for concurrent use.
type Request struct {
	config        RequestConfig
	own           Claim // the attempt that this delivery may run
	resolving     Claim // the attempt whose outcome is asked for
	state         requestState
	sent          bool      // whether SendBegin was returned for own
	resolveSentAt time.Time // time of the last SendResolve
	releaseReason Reason    // the reason to finish with after the claim is released
	now           time.Time
	actions       []Action
}

// requestState is what a Request waits for.
type requestState uint8

const (
	stateNew       requestState = iota
	stateClaiming               // reply to WriteClaim
	stateReplacing              // reply to ReplaceClaim
	stateReleasing              // reply to ReleaseClaim
	stateSent                   // reply to SendBegin
	stateResolving              // reply to SendResolve
	stateFinished
)

// NewRequest returns a delivery that may run the attempt of the given claim.
func NewRequest(c RequestConfig, own Claim) *Request {
	return &Request{config: c, own: own}
}

// Step handles one event and returns the actions to carry out, in order.
func (r *Request) Step(now time.Time, ev Event) []Action {
	r.now, r.actions = now, nil
	if r.state == stateFinished {
		return nil
	}
	switch ev := ev.(type) {
	case Start:
		r.start()
	case ClaimReply:
		r.handleClaimReply(ev)
	case BeginReply:
		r.handleBeginReply(ev)
	case ResolveReply:
		r.handleResolveReply(ev)
	case ConnectionLost:
		if r.state == stateSent && ev.ID == r.own.ID {
			r.resolve(r.own)
		}
	}
	r.checkDeadline()
	r.scheduleWake()
	return r.actions
}

// IsFinished reports whether Finished was returned.
func (r *Request) IsFinished() bool { return r.state == stateFinished }

func (r *Request) transition(s requestState, a Action) {
	r.state = s
	r.actions = append(r.actions, a)
}

func (r *Request) finish(f Finished) { r.transition(stateFinished, f) }

func (r *Request) finishUnknown(reason Reason) {
	f := Finished{Outcome: Unknown, Reason: reason}
	if reason == ReasonStoreUnavailable {
		f.RetryAfter = r.config.RetryAfter
	}
	r.finish(f)
}

func (r *Request) finishNotRun(reason Reason) {
	r.finish(Finished{Outcome: NotRun, Reason: reason, RetryAfter: r.config.RetryAfter})
}

func (r *Request) start() {
	if r.state != stateNew {
		return
	}
	if r.config.HasKey {
		r.transition(stateClaiming, WriteClaim{Claim: r.own})
		return
	}
	r.send()
}

func (r *Request) send() {
	r.sent = true
	r.transition(stateSent, SendBegin{Claim: r.own})
}

// resolve asks the agent what became of a claim's attempt. The attempt is not sent
// again: a refusal of the second message would not prove that the first did not run.
func (r *Request) resolve(c Claim) {
	r.resolving = c
	r.resolveSentAt = r.now
	r.transition(stateResolving, SendResolve{Claim: c})
}

// scheduleWake asks for a Wake at the deadline or the next poll. It repeats a
// SendResolve whose reply is overdue or said that the attempt still runs.
func (r *Request) scheduleWake() {
	if r.state == stateFinished {
		return
	}
	wakeAt := r.config.Deadline
	if r.state == stateResolving {
		if !r.now.Before(r.resolveSentAt.Add(r.config.PollInterval)) {
			r.resolve(r.resolving)
		}
		if pollAt := r.resolveSentAt.Add(r.config.PollInterval); pollAt.Before(wakeAt) {
			wakeAt = pollAt
		}
	}
	if wakeAt.After(r.now) {
		r.actions = append(r.actions, WakeAt{At: wakeAt})
	}
}
