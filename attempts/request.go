package attempts

import "time"

// RequestConfig is the fixed part of a Request.
type RequestConfig struct {
	// HasKey says that the caller gave a key, under which it may deliver the
	// request again. Without one no claim is needed: there is one delivery.
	HasKey bool
	// FirstDelivery says that the caller vouches for this being the first delivery under
	// the key. Without the store, NotRun can be said only then.
	FirstDelivery bool
	Deadline      time.Time
	// PollInterval is how long after a SendResolve it is sent again.
	PollInterval time.Duration
	RetryAfter   time.Duration
	// MaxAge is TableConfig.MaxAge. A delivery older than that, which happens when
	// its entry was paused, may find an earlier claim of its key expired, and
	// proves nothing any more.
	MaxAge time.Duration
}

// Request is one delivery of a request that is not repeatable. Times given to it
// are of the wall clock, as ID.Issued is. It is not safe for concurrent use.
type Request struct {
	config        RequestConfig
	own           Claim // what this delivery may run
	resolving     Claim // what is being resolved
	state         requestState
	sent          bool      // the own attempt was sent
	resolveSentAt time.Time // last SendResolve
	releaseReason Reason    // of the NotRun that a release is to make certain
	now           time.Time
	actions       []Action
}

type requestState uint8

const (
	stateNew requestState = iota
	stateClaiming
	stateReplacing
	stateReleasing
	stateSent
	stateResolving
	stateFinished
)

// NewRequest returns a delivery that runs the attempt of the claim, if any.
func NewRequest(c RequestConfig, own Claim) *Request {
	return &Request{config: c, own: own}
}

// HandleEvent handles one event and returns what is to be done, in order.
func (r *Request) HandleEvent(now time.Time, ev Event) []Action {
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

// IsFinished says whether Finished was returned.
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

// resolve asks what became of a claim's attempt. Sending the attempt again
// instead would need the same agent, and prove nothing if it refused.
func (r *Request) resolve(c Claim) {
	r.resolving = c
	r.resolveSentAt = r.now
	r.transition(stateResolving, SendResolve{Claim: c})
}

// scheduleWake repeats a SendResolve whose attempt still runs or whose reply was lost.
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
