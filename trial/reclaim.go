package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/load"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

const (
	// borrowerRunTime is longer than any claim waits.
	borrowerRunTime    = time.Minute
	checkpointInterval = 100 * time.Millisecond
	claimRunTime       = 200 * time.Millisecond
	// claimTimeout is how long a claim may wait before the guarantee counts as not honoured.
	claimTimeout = 20 * time.Second
	// steadyPeriod is how long the number of free accelerators must stay the same before the
	// borrowers count as placed.
	steadyPeriod = time.Second
)

// reclaimMeasurement measures how long client accounts wait for their guaranteed shapes while
// another account uses the capacity.
type reclaimMeasurement struct {
	cluster        *Cluster
	doc            *document.Document
	borrowingClass *document.Class
	// borrower is the account with the smallest guarantee.
	borrower string
	result   load.Result
}

var errNoBorrowingClass = errors.New("trial: the document has no class with may_borrow")

// MeasureReclaim fills the idle cluster with borrowing jobs and then lets every other client
// account claim its largest guaranteed shape, one after the other. The result holds all jobs
// submitted, for the audit.
func (c *Cluster) MeasureReclaim(ctx context.Context, doc *document.Document) ([]load.ReclaimSample, load.Result, error) {
	r := &reclaimMeasurement{cluster: c, doc: doc, result: load.Result{Plan: "reclaim", Service: c.Service, StartedAt: time.Now()}}
	for i := range doc.Classes {
		if doc.Classes[i].MayBorrow && r.borrowingClass == nil {
			r.borrowingClass = &doc.Classes[i]
		}
	}
	if r.borrowingClass == nil {
		return nil, r.result, errNoBorrowingClass
	}
	r.borrower = smallestGuarantee(doc.Accounts)
	if err := r.submitBorrowers(ctx); err != nil {
		return nil, r.result, err
	}
	var samples []load.ReclaimSample
	for i := range doc.Accounts {
		a := &doc.Accounts[i]
		if a.Name == r.borrower || len(a.Guaranteed) == 0 {
			continue
		}
		sample, err := r.claim(ctx, a)
		if err != nil {
			return samples, r.result, err
		}
		samples = append(samples, sample)
	}
	return samples, r.result, r.cancelAndRecord(ctx)
}

func guaranteedAccelerators(a document.Account) int {
	sum := 0
	for _, g := range a.Guaranteed {
		sum += g.Accelerators * g.Count
	}
	return sum
}

func smallestGuarantee(accounts []document.Account) string {
	best := accounts[0]
	for _, a := range accounts {
		if guaranteedAccelerators(a) < guaranteedAccelerators(best) {
			best = a
		}
	}
	return best.Name
}

// submitBorrowers submits borrowing jobs of four accelerators, enough for the whole capacity,
// and waits until no more of them start.
func (r *reclaimMeasurement) submitBorrowers(ctx context.Context) error {
	const size = 4
	accelerators := 0
	for _, s := range workerLocations(r.doc, len(r.cluster.Workers)) {
		accelerators += s.accelerators
	}
	for range accelerators / size {
		shape := document.Guarantee{Accelerators: size, Adjacent: document.SameWorker}
		if _, err := r.submit(ctx, r.borrower, shape, borrowerRunTime); err != nil {
			return err
		}
	}
	return r.awaitSteadyState(ctx)
}

func (r *reclaimMeasurement) awaitSteadyState(ctx context.Context) error {
	lastFree, unchangedSince := -1, time.Now()
	return WaitFor(ctx, func(context.Context) error {
		s, ok := r.cluster.PlannerStats()
		if !ok || s.Free != lastFree {
			lastFree, unchangedSince = s.Free, time.Now()
		}
		if !ok || s.Starts == 0 || time.Since(unchangedSince) < steadyPeriod {
			return fmt.Errorf("borrowing jobs are still starting: %d accelerators free", lastFree)
		}
		return nil
	})
}

func (r *reclaimMeasurement) submit(ctx context.Context, account string, g document.Guarantee, runTime time.Duration) (int, error) {
	tag := "reclaim-" + uuid.NewString()
	payload, err := json.Marshal(standin.TaskPayload{
		Tag:               tag,
		RunMS:             runTime.Milliseconds(),
		CheckpointEveryMS: checkpointInterval.Milliseconds(),
	})
	if err != nil {
		return 0, err
	}
	j := load.JobResult{Tag: tag, Account: account, Class: r.borrowingClass.Name, Repeatable: r.borrowingClass.Repeatable, Scheduled: time.Now()}
	s, err := r.cluster.Entries[0].Client().SubmitJob(ctx, r.cluster.Service, api.JobRequest{
		Account:      account,
		Class:        r.borrowingClass.Name,
		Accelerators: g.Accelerators,
		Adjacency:    api.Adjacency(g.Adjacent),
		Payload:      payload,
	}, tag)
	if err != nil {
		return 0, err
	}
	j.ID, j.State = s.ID, s.State
	r.result.Jobs = append(r.result.Jobs, j)
	return len(r.result.Jobs) - 1, nil
}

// claim submits a job of the account's largest guaranteed shape and measures its start delay.
func (r *reclaimMeasurement) claim(ctx context.Context, a *document.Account) (load.ReclaimSample, error) {
	shape := a.Guaranteed[0]
	for _, g := range a.Guaranteed {
		if g.Accelerators > shape.Accelerators {
			shape = g
		}
	}
	jobIndex, err := r.submit(ctx, a.Name, shape, claimRunTime)
	if err != nil {
		return load.ReclaimSample{}, err
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	status, err := r.awaitFinalState(claimCtx, r.result.Jobs[jobIndex].ID)
	sample := load.ReclaimSample{Account: a.Name, StartDelay: claimTimeout}
	if err == nil && status.State == api.JobDone {
		sample.StartDelay = r.startTime(r.result.Jobs[jobIndex].Tag).Sub(r.result.Jobs[jobIndex].Scheduled)
		sample.Honoured = true
	}
	return sample, ctx.Err()
}

// startTime returns when the last member of a gang started, by the workers' audit logs.
func (r *reclaimMeasurement) startTime(tag string) time.Time {
	var latest time.Time
	for _, a := range r.cluster.Audits() {
		for _, run := range a.Tasks {
			if run.Tag == tag && run.Start.After(latest) {
				latest = run.Start
			}
		}
	}
	return latest
}

func (r *reclaimMeasurement) awaitFinalState(ctx context.Context, id string) (api.JobStatus, error) {
	var s api.JobStatus
	err := WaitFor(ctx, func(ctx context.Context) error {
		var err error
		s, err = r.cluster.Entries[0].Client().GetJob(ctx, r.cluster.Service, id, 0)
		if err == nil && !s.State.Final() {
			err = fmt.Errorf("job %s is %s", id, s.State)
		}
		return err
	})
	return s, err
}

// cancelAndRecord cancels the jobs that still run and records every job's final state.
func (r *reclaimMeasurement) cancelAndRecord(ctx context.Context) error {
	var ids []string
	for _, j := range r.result.Jobs {
		ids = append(ids, j.ID)
	}
	if _, err := r.cluster.Entries[0].Client().CancelJobs(ctx, r.cluster.Service, ids); err != nil {
		return err
	}
	for i := range r.result.Jobs {
		j := &r.result.Jobs[i]
		s, err := r.awaitFinalState(ctx, j.ID)
		if err != nil {
			return err
		}
		j.CancelRequested = true
		j.State, j.Reason, j.Attempt, j.Result = s.State, s.Reason, s.Attempt, s.Result
	}
	return nil
}
