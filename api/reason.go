package api

import "net/http"

// Reason says why a request did not end as done.
type Reason string

// Reasons for which the request provably did not run.
const (
	// ReasonInvalid: the request breaks the contract; Problem.Field names where.
	ReasonInvalid Reason = "invalid-request"
	// ReasonTooLarge: the body or payload exceeds its bound.
	ReasonTooLarge Reason = "too-large"
	// ReasonNoRoute: no such path or method.
	ReasonNoRoute Reason = "no-route"
	// ReasonUnknownService: no document in force names the service.
	ReasonUnknownService Reason = "unknown-service"
	// ReasonUnknownAccount: the document doesn't declare the client account.
	ReasonUnknownAccount Reason = "unknown-account"
	// ReasonUnknownClass: the document doesn't declare the class.
	ReasonUnknownClass Reason = "unknown-class"
	// ReasonKeyReused: the idempotency key belongs to a different request.
	ReasonKeyReused Reason = "idempotency-key-reused"
	// ReasonImpossible: no worker could ever run the job as declared.
	ReasonImpossible Reason = "impossible"
	// ReasonQueueFull: too much work waits already.
	ReasonQueueFull Reason = "queue-full"
	// ReasonAccountLimit: the client account has too much work waiting.
	ReasonAccountLimit Reason = "account-limit"
	// ReasonDeadlineBeforeStart: the deadline passed, or would pass, before the start.
	ReasonDeadlineBeforeStart Reason = "deadline-before-start"
	// ReasonNoTarget: no target that accepts work is known.
	ReasonNoTarget Reason = "no-target"
	// ReasonRefused: every target tried refused the request before its start.
	ReasonRefused Reason = "refused"
	// ReasonNotReady: this entry knows no document or no target yet.
	ReasonNotReady Reason = "not-ready"
	// ReasonDraining: this entry is leaving; another one takes the request.
	ReasonDraining Reason = "draining"
	// ReasonNoPlanner: no entry that plans the service answers just now.
	ReasonNoPlanner Reason = "no-planner"
	// ReasonStoreUnavailable: the job could not be made safe, so it was not accepted.
	ReasonStoreUnavailable Reason = "store-unavailable"
	// ReasonCancelledBeforeStart: cancelled before its start.
	ReasonCancelledBeforeStart Reason = "cancelled-before-start"
)

// Reasons for which the request may have run, or may still run.
const (
	// ReasonOutcomeLost: it was sent to a target whose answer did not come back whole.
	ReasonOutcomeLost Reason = "outcome-lost"
	// ReasonDeadlineWhileRunning: the deadline passed after the start.
	ReasonDeadlineWhileRunning Reason = "deadline-while-running"
	// ReasonEarlierAttemptInDoubt: an earlier attempt with this idempotency key may have
	// run or still runs, and its answer isn't known.
	ReasonEarlierAttemptInDoubt Reason = "earlier-attempt-in-doubt"
	// ReasonAcceptanceLost: the store's reply was lost; the job may be accepted.
	ReasonAcceptanceLost Reason = "acceptance-lost"
	// ReasonCancellationLost: the store's reply was lost; the cancellation, or part of a
	// wave, may have taken effect. It may be repeated.
	ReasonCancellationLost Reason = "cancellation-lost"
	// ReasonUnknownJob: no record of the job. It may have run and been forgotten.
	ReasonUnknownJob Reason = "unknown-job"
	// ReasonJobStateUnavailable: whoever knows the job can't be asked just now. It says
	// nothing of whether there is such a job.
	ReasonJobStateUnavailable Reason = "job-state-unavailable"
	// ReasonInternal: a broken invariant; nothing is claimed.
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

// Outcome is what the reason allows to be claimed. A reason that isn't in the
// table, of a newer entry for one, is OutcomeUnknown.
func (r Reason) Outcome() Outcome {
	if info, ok := reasons[r]; ok {
		return info.outcome
	}
	return OutcomeUnknown
}

// Status is the HTTP status that goes with the reason.
func (r Reason) Status() int {
	if info, ok := reasons[r]; ok {
		return info.status
	}
	return http.StatusGatewayTimeout
}

func (r Reason) title() string {
	return reasons[r].title
}
