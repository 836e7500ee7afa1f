package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"goji.io/pat"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/metrics"
)

const (
	// maxRequestWait limits how long a status or bulk cancellation request may take.
	maxRequestWait = 30 * time.Second
	// statusPollInterval is how often a waiting status request looks up the status.
	statusPollInterval = 100 * time.Millisecond
	// storeTimeout limits a call to the platform's store on behalf of a caller.
	storeTimeout = 3 * time.Second
)

// jobIDNamespace is the UUID namespace of job ids derived from idempotency keys. The same
// key of the same client account gives the same job id at every entry.
var jobIDNamespace = uuid.MustParse("6a0d9a2e-5f6c-4b39-9d0e-0f5b1c7f4a11")

// submitJob writes a job to the store and answers with its location.
func (e *Entry) submitJob(w http.ResponseWriter, r *http.Request) {
	rec, problem := e.parseJob(w, r)
	if problem != nil {
		problem.WriteResponse(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	accepted, err := e.jobs.Accept(ctx, rec)
	w.Header().Set("Location", api.JobPath(rec.Service, rec.ID))
	if err != nil {
		acceptProblem(err).WriteResponse(w)
		return
	}
	e.metrics.Add(metrics.JobsAccepted, 1)
	api.WriteJSON(w, http.StatusAccepted, recordStatus(accepted.Record))
}

func (e *Entry) parseJob(w http.ResponseWriter, r *http.Request) (jobs.Record, *api.Problem) {
	if p := e.checkConfirmed(); p != nil {
		return jobs.Record{}, p
	}
	service := pat.Param(r, "service")
	active, ok := e.documents.Current(service)
	if !ok {
		return jobs.Record{}, api.NewProblem(api.ReasonUnknownService, "no document in force names the service "+service)
	}
	var req api.JobRequest
	if p := decodeBody(w, r, &req); p != nil {
		return jobs.Record{}, p
	}
	if p := req.Validate(); p != nil {
		return jobs.Record{}, p
	}
	class, problem := checkClass(active.Document, req.Account, req.Class, document.Job)
	if problem != nil {
		return jobs.Record{}, problem
	}
	key := r.Header.Get(api.HeaderIdempotencyKey)
	if p := api.ValidateIdempotencyKey(key); p != nil {
		return jobs.Record{}, p
	}
	return jobs.Record{
		ID:        jobID(service, req.Account, key),
		Service:   service,
		Spec:      jobSpec(&req, class),
		Submitted: time.Now(),
	}, nil
}

func jobID(service, account, key string) string {
	if key == "" {
		return uuid.NewString()
	}
	return uuid.NewSHA1(jobIDNamespace, []byte(service+"\x00"+account+"\x00"+key)).String()
}

func jobSpec(req *api.JobRequest, class *document.Class) jobs.Spec {
	adjacency := req.Adjacency
	if adjacency == "" {
		adjacency = api.AdjacentAny
	}
	return jobs.Spec{
		Account:        req.Account,
		Class:          req.Class,
		Accelerators:   req.Accelerators,
		Adjacency:      string(adjacency),
		Cores:          perAccelerator(req.Cores, req.Accelerators),
		MemoryMB:       perAccelerator(req.MemoryMB, req.Accelerators),
		Estimate:       time.Duration(req.Estimate),
		Repeatable:     valueOr(req.Repeatable, class.Repeatable),
		Checkpointable: valueOr(req.Checkpointable, class.Checkpointable),
		Payload:        req.Payload,
	}
}

// perAccelerator returns the part of a resource total for one accelerator, rounded up. A
// job with at most one accelerator gets the total on one worker.
func perAccelerator(total, accelerators int) int {
	if accelerators <= 1 {
		return total
	}
	return (total + accelerators - 1) / accelerators
}

func acceptProblem(err error) *api.Problem {
	switch {
	case eris.Is(err, jobs.ErrIdempotencyKeyReused):
		return api.NewProblem(api.ReasonKeyReused, "the key belongs to a job with another content")
	case eris.Is(err, jobs.ErrOutcomeUnknown):
		return api.NewRetryableProblem(api.ReasonAcceptanceLost, "the platform's store did not say whether it took the job; ask at Location, or submit it again with the same idempotency key", defaultRetryAfter)
	default:
		return api.NewRetryableProblem(api.ReasonStoreUnavailable, "the platform's store can't make the job safe: "+err.Error(), defaultRetryAfter)
	}
}

// jobStatus answers with the status of a job. If the caller asks to wait, the answer is
// delayed until the job has ended or the wait is over.
func (e *Entry) jobStatus(w http.ResponseWriter, r *http.Request) {
	service, id := pat.Param(r, "service"), pat.Param(r, "id")
	waitEnd, problem := statusWaitEnd(r, time.Now())
	if problem != nil {
		problem.WriteResponse(w)
		return
	}
	for {
		status, problem := e.lookUpStatus(r.Context(), service, id)
		if problem != nil {
			problem.WriteResponse(w)
			return
		}
		if status.State.Final() || time.Now().After(waitEnd) || r.Context().Err() != nil {
			api.WriteJSON(w, http.StatusOK, status)
			return
		}
		sleep(r.Context(), statusPollInterval)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func statusWaitEnd(r *http.Request, now time.Time) (time.Time, *api.Problem) {
	text := r.URL.Query().Get(api.ParamWait)
	if text == "" {
		return now, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 {
		return now, api.NewInvalidProblem(api.ParamWait, "not a duration such as 10s")
	}
	return now.Add(min(wait, maxRequestWait)), nil
}

// cancelJob cancels one job. It is idempotent.
func (e *Entry) cancelJob(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	cancelled, err := e.jobs.Cancel(ctx, pat.Param(r, "service"), pat.Param(r, "id"), time.Now())
	if err != nil {
		cancelProblem(err).WriteResponse(w)
		return
	}
	api.WriteJSON(w, http.StatusAccepted, recordStatus(cancelled.Record))
}

// cancelProblem maps an error of a cancellation. A cancellation whose write may have
// taken effect must not be answered "not run": the caller would count on a job that is
// cancelled.
func cancelProblem(err error) *api.Problem {
	switch {
	case eris.Is(err, jobs.ErrNotFound):
		return api.NewProblem(api.ReasonUnknownJob, "no record of the job")
	case eris.Is(err, jobs.ErrOutcomeUnknown):
		return api.NewRetryableProblem(api.ReasonCancellationLost, "the platform's store did not say whether it took the cancellation; it may be repeated", defaultRetryAfter)
	}
	return api.NewRetryableProblem(api.ReasonStoreUnavailable, "the platform's store did not take the cancellation; it may be repeated: "+err.Error(), defaultRetryAfter)
}

// cancelJobs cancels several jobs; their writes share calls to the store.
func (e *Entry) cancelJobs(w http.ResponseWriter, r *http.Request) {
	var req api.CancelRequest
	if p := decodeBody(w, r, &req); p != nil {
		p.WriteResponse(w)
		return
	}
	if p := req.Validate(); p != nil {
		p.WriteResponse(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxRequestWait)
	defer cancel()
	resp, problem := e.cancelAll(ctx, pat.Param(r, "service"), req.IDs)
	if problem != nil {
		problem.WriteResponse(w)
		return
	}
	api.WriteJSON(w, http.StatusAccepted, resp)
}
