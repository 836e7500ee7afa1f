package load

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

const (
	submitTimeout = 15 * time.Second
	// longPollWait is how long an entry may hold a status request open.
	longPollWait = 10 * time.Second
	// minPollInterval bounds the rate of status requests if an entry answers at once.
	minPollInterval = 50 * time.Millisecond
)

// runJob submits a job and follows it to its final state. It runs in a goroutine of its own,
// which owns j; cancelJobs sets only CancelRequested.
func (r *runner) runJob(ctx context.Context, entryIndex int, a Arrival, j *JobResult) {
	l := a.Job.Load
	*j = JobResult{
		Tag:        r.runID + "-" + a.Tag,
		Account:    l.Account,
		Class:      l.Class,
		Repeatable: l.Repeatable,
		Size:       a.Job.Size,
		Scheduled:  r.startedAt.Add(a.At),
	}
	r.submit(ctx, entryIndex, j, newJobRequest(j.Tag, a.Job), a.Job.Resend)
	if j.ID != "" {
		r.setOpen(j, true)
		r.awaitFinalState(ctx, entryIndex, j)
		r.setOpen(j, false)
	}
	j.TurnaroundTime = time.Since(j.Scheduled)
}

func newJobRequest(tag string, a *JobArrival) *api.JobRequest {
	payload, err := json.Marshal(standin.TaskPayload{
		Tag:               tag,
		RunMS:             a.RunTime.Milliseconds(),
		Fail:              a.Fail,
		FailAfterMS:       a.RunTime.Milliseconds() / 2,
		CheckpointEveryMS: time.Duration(a.Load.CheckpointInterval).Milliseconds(),
	})
	if err != nil {
		panic("load: encode task payload: " + err.Error())
	}
	checkpointable := a.Load.CheckpointInterval > 0
	return &api.JobRequest{
		Account:        a.Load.Account,
		Class:          a.Load.Class,
		Accelerators:   a.Size.Accelerators,
		Adjacency:      a.Size.Adjacency,
		Estimate:       api.Duration(a.Estimate),
		Repeatable:     &a.Load.Repeatable,
		Checkpointable: &checkpointable,
		Payload:        payload,
	}
}

// submit tries the entries in turn until one answers. With resubmit, it goes on to the next
// entry after the first answer.
func (r *runner) submit(ctx context.Context, entryIndex int, j *JobResult, req *api.JobRequest, resubmit bool) {
	for i := range maxTries {
		t := r.submitOnce(ctx, entryIndex+i, j, req)
		if t.Answered && resubmit {
			resubmit = false
			continue
		}
		if t.Answered || !sleepUntil(ctx, time.Now().Add(retryDelay)) {
			return
		}
	}
}

func (r *runner) submitOnce(ctx context.Context, entryIndex int, j *JobResult, req *api.JobRequest) Try {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	client, entryURL := r.entryAt(entryIndex)
	st, err := client.SubmitJob(ctx, r.plan.Service, *req, j.Tag)
	t := Try{Entry: entryURL, Answered: true, RequestID: st.ID}
	var p *api.Problem
	switch {
	case err == nil:
		t.Outcome = api.OutcomeDone
		r.recordAccepted(j, st)
	case errors.As(err, &p):
		t.Outcome, t.Reason, t.RequestID = p.Outcome(), p.Reason, p.RequestID
		j.Reason = p.Reason
	default:
		t = failedTry(entryURL, err)
	}
	j.Submissions = append(j.Submissions, t)
	return t
}

func (r *runner) recordAccepted(j *JobResult, status api.JobStatus) {
	if j.ID != "" && status.ID != j.ID {
		j.ConflictingIDs = append(j.ConflictingIDs, status.ID)
		return
	}
	j.ID = status.ID
	j.update(status)
}

func (j *JobResult) update(status api.JobStatus) {
	j.State = status.State
	j.Reason = status.Reason
	j.Attempt = status.Attempt
	j.Result = status.Result
	if !status.Started.IsZero() {
		j.StartDelay = status.Started.Sub(status.Submitted)
	}
}

// awaitFinalState polls the entries in turn until the job has ended or ctx is done.
func (r *runner) awaitFinalState(ctx context.Context, entryIndex int, j *JobResult) {
	for !j.State.Final() {
		client, _ := r.entryAt(entryIndex)
		entryIndex++
		polledAt := time.Now()
		st, err := r.poll(ctx, client, j.ID)
		if err == nil {
			j.update(st)
		}
		if !j.State.Final() && !sleepUntil(ctx, polledAt.Add(minPollInterval)) {
			return
		}
	}
}

func (r *runner) poll(ctx context.Context, client *api.Client, id string) (api.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*longPollWait)
	defer cancel()
	return client.GetJob(ctx, r.plan.Service, id, longPollWait)
}

func (r *runner) setOpen(j *JobResult, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.openJobs[j] = true
		return
	}
	delete(r.openJobs, j)
}
