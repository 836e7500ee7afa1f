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
	// pollWait is how long an entry may hold a job's status.
	pollWait = 10 * time.Second
	// betweenPolls keeps a caller from asking in a loop when an entry answers
	// at once.
	betweenPolls = 50 * time.Millisecond
)

// doJob is the caller of one job: it submits it and follows it to its end.
func (r *runner) doJob(ctx context.Context, n int, a Arrival, j *JobResult) {
	l := a.Job.Load
	*j = JobResult{
		Tag:        r.run + "-" + a.Tag,
		Account:    l.Account,
		Class:      l.Class,
		Repeatable: l.Repeatable,
		Size:       a.Job.Size,
		Scheduled:  r.began.Add(a.At),
	}
	r.submit(ctx, n, j, jobRequest(j.Tag, a.Job), a.Job.Resend)
	if j.ID != "" {
		r.setOpen(j, true)
		r.follow(ctx, n, j)
		r.setOpen(j, false)
	}
	j.TurnaroundTime = time.Since(j.Scheduled)
}

func jobRequest(tag string, a *JobArrival) *api.JobRequest {
	payload, err := json.Marshal(standin.TaskPayload{
		Tag:               tag,
		RunMS:             a.RunTime.Milliseconds(),
		Fail:              a.Fail,
		FailAfterMS:       a.RunTime.Milliseconds() / 2,
		CheckpointEveryMS: time.Duration(a.Load.CheckpointInterval).Milliseconds(),
	})
	if err != nil {
		panic("load: payload can't be encoded: " + err.Error())
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

// submit asks one entry after the other until one answers, and once more
// another one if the caller is to submit twice.
func (r *runner) submit(ctx context.Context, n int, j *JobResult, req *api.JobRequest, again bool) {
	for i := range maxTries {
		t := r.askSubmit(ctx, n+i, j, req)
		if t.Answered && again {
			again = false
			continue
		}
		if t.Answered || !sleepUntil(ctx, time.Now().Add(betweenTries)) {
			return
		}
	}
}

func (r *runner) askSubmit(ctx context.Context, n int, j *JobResult, req *api.JobRequest) Try {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	client, name := r.entry(n)
	st, err := client.SubmitJob(ctx, r.plan.Service, *req, j.Tag)
	t := Try{Entry: name, Answered: true, RequestID: st.ID}
	var p *api.Problem
	switch {
	case err == nil:
		t.Outcome = api.OutcomeDone
		r.accepted(j, st)
	case errors.As(err, &p):
		t.Outcome, t.Reason, t.RequestID = p.Outcome(), p.Reason, p.RequestID
		j.Reason = p.Reason
	default:
		t = failedTry(name, err)
	}
	j.Submissions = append(j.Submissions, t)
	return t
}

func (r *runner) accepted(j *JobResult, st api.JobStatus) {
	if j.ID != "" && st.ID != j.ID {
		j.ConflictingIDs = append(j.ConflictingIDs, st.ID)
		return
	}
	j.ID = st.ID
	j.see(st)
}

func (j *JobResult) see(st api.JobStatus) {
	j.State = st.State
	j.Reason = st.Reason
	j.Attempt = st.Attempt
	j.Result = st.Result
	if !st.Started.IsZero() {
		j.StartDelay = st.Started.Sub(st.Submitted)
	}
}

// follow asks the entries in turn until the job has ended.
func (r *runner) follow(ctx context.Context, n int, j *JobResult) {
	for !j.State.Final() {
		client, _ := r.entry(n)
		n++
		asked := time.Now()
		st, err := r.poll(ctx, client, j.ID)
		if err == nil {
			j.see(st)
		}
		if !j.State.Final() && !sleepUntil(ctx, asked.Add(betweenPolls)) {
			return
		}
	}
}

func (r *runner) poll(ctx context.Context, client *api.Client, id string) (api.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*pollWait)
	defer cancel()
	return client.GetJob(ctx, r.plan.Service, id, pollWait)
}

func (r *runner) setOpen(j *JobResult, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.open[j] = true
		return
	}
	delete(r.open, j)
}
