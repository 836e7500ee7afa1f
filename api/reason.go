package api

import "net/http"

// Reason is why the outcome of a request is not OutcomeDone.
type Reason string

// Reasons for which the request certainly did not run.
const (
	// ReasonInvalid: the request is invalid; Problem.Field names the part at fault.
	ReasonInvalid Reason = "invalid-request"
	// ReasonTooLarge: the body or payload exceeds its limit.
	ReasonTooLarge Reason = "too-large"
	// ReasonNoRoute: there is no such path or method.
	ReasonNoRoute Reason = "no-route"
	// ReasonUnknownService: there is no active document of the service.
	ReasonUnknownService Reason = "unknown-service"
	// ReasonUnknownAccount: the document does not declare the client account.
	ReasonUnknownAccount Reason = "unknown-account"
	// ReasonUnknownClass: the document does not declare the class.
	ReasonUnknownClass Reason = "unknown-class"
	// ReasonKeyReused: the idempotency key belongs to a different request.
	ReasonKeyReused Reason = "idempotency-key-reused"
	// ReasonImpossible: no worker could ever run the job as declared.
	ReasonImpossible Reason = "impossible"
	// ReasonQueueFull: too much work is already queued.
	ReasonQueueFull Reason = "queue-full"
	// ReasonAccountLimit: the client account has too much work queued.
	ReasonAccountLimit Reason = "account-limit"
	// ReasonDeadlineBeforeStart: the deadline passed, or would have passed, before the
	// start.
	ReasonDeadlineBeforeStart Reason = "deadline-before-start"
	// ReasonNoTarget: no target that accepts work is known.
	ReasonNoTarget Reason = "no-target"
	// ReasonRefused: every target tried refused the request before its start.
	ReasonRefused Reason = "refused"
	// ReasonNotReady: the entry knows no document or no target yet.
	ReasonNotReady Reason = "not-ready"
	// ReasonDraining: the entry is shutting down; another one will take the request.
	ReasonDraining Reason = "draining"
	// ReasonOverloaded: the entry has no memory for the request; another one may have.
	ReasonOverloaded Reason = "overloaded"
	// ReasonNoPlanner: no entry that plans the service answers.
	ReasonNoPlanner Reason = "no-planner"
	// ReasonStoreUnavailable: the job could not be written to the store, so it was not
	// accepted.
	ReasonStoreUnavailable Reason = "store-unavailable"
	// ReasonCancelledBeforeStart: the job was cancelled before its start.
	ReasonCancelledBeforeStart Reason = "cancelled-before-start"
)

// Reasons for which the request may have run, or may still run.
const (
	// ReasonOutcomeLost: the request was sent to a target, and no complete answer was
	// received.
	ReasonOutcomeLost Reason = "outcome-lost"
	// ReasonDeadlineWhileRunning: the deadline passed after the start.
	ReasonDeadlineWhileRunning Reason = "deadline-while-running"
	// ReasonEarlierAttemptInDoubt: an earlier attempt with this idempotency key may have
	// run or may still run, and its answer is not known.
	ReasonEarlierAttemptInDoubt Reason = "earlier-attempt-in-doubt"
	// ReasonAcceptanceLost: the store's reply was lost; the job may have been accepted.
	ReasonAcceptanceLost Reason = "acceptance-lost"
	// ReasonCancellationLost: the store's reply was lost; some or all of the cancellations
	// may have taken effect. The request may be repeated.
	ReasonCancellationLost Reason = "cancellation-lost"
	// ReasonUnknownJob: there is no record of the job. It may have run, and its record
	// expired.
	ReasonUnknownJob Reason = "unknown-job"
	// ReasonJobStateUnavailable: the process that knows the job cannot be reached. The job
	// may or may not exist.
	ReasonJobStateUnavailable Reason = "job-state-unavailable"
	// ReasonInternal: an invariant was violated; nothing is known about the request.
	ReasonInternal Reason = "internal"
)

type reasonInfo struct {
	outcome Outcome
	status  int
	title   string
}

var reasons = map[Reason]reasonInfo{
	ReasonInvalid:              {OutcomeNotRun, http.StatusBadRequest, "request is not valid"},
	ReasonTooLarge:             {OutcomeNotRun, http.StatusRequestEntityTooLarge, "request is too large"},
	ReasonNoRoute:              {OutcomeNotRun, http.StatusNotFound, "no such path or method"},
	ReasonUnknownService:       {OutcomeNotRun, http.StatusNotFound, "service is not known"},
	ReasonUnknownAccount:       {OutcomeNotRun, http.StatusForbidden, "client account is not declared"},
	ReasonUnknownClass:         {OutcomeNotRun, http.StatusBadRequest, "class is not declared"},
	ReasonKeyReused:            {OutcomeNotRun, http.StatusUnprocessableEntity, "idempotency key belongs to another request"},
	ReasonImpossible:           {OutcomeNotRun, http.StatusUnprocessableEntity, "job can never run as declared"},
	ReasonQueueFull:            {OutcomeNotRun, http.StatusTooManyRequests, "queue is full"},
	ReasonAccountLimit:         {OutcomeNotRun, http.StatusTooManyRequests, "client account is over its limit"},
	ReasonDeadlineBeforeStart:  {OutcomeNotRun, http.StatusServiceUnavailable, "deadline before the start"},
	ReasonNoTarget:             {OutcomeNotRun, http.StatusServiceUnavailable, "no target available"},
	ReasonRefused:              {OutcomeNotRun, http.StatusServiceUnavailable, "refused by the targets tried"},
	ReasonNotReady:             {OutcomeNotRun, http.StatusServiceUnavailable, "entry is not ready"},
	ReasonDraining:             {OutcomeNotRun, http.StatusServiceUnavailable, "entry is leaving"},
	ReasonOverloaded:           {OutcomeNotRun, http.StatusServiceUnavailable, "entry is overloaded"},
	ReasonNoPlanner:            {OutcomeNotRun, http.StatusServiceUnavailable, "no planner just now"},
	ReasonStoreUnavailable:     {OutcomeNotRun, http.StatusServiceUnavailable, "store is not available"},
	ReasonCancelledBeforeStart: {OutcomeNotRun, http.StatusConflict, "cancelled before the start"},

	ReasonOutcomeLost:           {OutcomeUnknown, http.StatusGatewayTimeout, "outcome is not known"},
	ReasonDeadlineWhileRunning:  {OutcomeUnknown, http.StatusGatewayTimeout, "deadline passed while running"},
	ReasonEarlierAttemptInDoubt: {OutcomeUnknown, http.StatusGatewayTimeout, "outcome of an earlier attempt is not known"},
	ReasonAcceptanceLost:        {OutcomeUnknown, http.StatusGatewayTimeout, "acceptance is not known"},
	ReasonCancellationLost:      {OutcomeUnknown, http.StatusGatewayTimeout, "cancellation is not known"},
	ReasonUnknownJob:            {OutcomeUnknown, http.StatusNotFound, "job is not known"},
	ReasonJobStateUnavailable:   {OutcomeUnknown, http.StatusServiceUnavailable, "state of the job can't be read just now"},
	ReasonInternal:              {OutcomeUnknown, http.StatusInternalServerError, "internal error"},
}

// Outcome returns the outcome that the reason implies. It is OutcomeUnknown for unknown
// reasons, which a newer entry may send.
func (r Reason) Outcome() Outcome {
	if info, ok := reasons[r]; ok {
		return info.outcome
	}
	return OutcomeUnknown
}

// Status returns the HTTP status of the reason.
func (r Reason) Status() int {
	if info, ok := reasons[r]; ok {
		return info.status
	}
	return http.StatusGatewayTimeout
}

func (r Reason) title() string {
	return reasons[r].title
}
