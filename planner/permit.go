package planner

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/store"
)

const (
	// maxUnusedPermits limits how many jobs of a domain hold an unused permit.
	maxUnusedPermits = 64
	// permitDelay is how long a job waits before it is given a permit, so that
	// a job that starts at once needs no extra write.
	permitDelay = 2 * time.Second
	// placementDelay is how long an attempt runs on a permit before its
	// placement is recorded, so that short jobs need no extra write.
	placementDelay = 10 * time.Second
	// permitReturnTimeout bounds the writes at the end of a term.
	permitReturnTimeout = time.Second
)

// permitState is the state of a job's permit at the planner that wrote it.
type permitState struct {
	// writing is set while the permit is being written.
	writing bool
	// mayHaveBeenUsed is set once an attempt may have been started on the permit.
	mayHaveBeenUsed bool
	// void is set once the placement may be in the record, since a successor
	// would then look for that attempt only. Nothing more is started on the
	// permit.
	void bool
	// placing is set while the placement is being written.
	placing bool
}

// isOwnPermit reports whether the record is a permit of this planner.
func (p *Planner) isOwnPermit(r jobs.Record) bool {
	return r.IsPermit() && r.Epoch == p.cfg.Epoch
}

// permitUsable reports whether the job may be started on its permit without a
// write.
func (p *Planner) permitUsable(j *job) bool {
	return p.isOwnPermit(j.stored.Record) && !j.permit.void && !j.unresolved && !j.stored.CancelRequested && j.finalRecord == nil
}

// permitUnused reports whether certainly nothing was started on the job's
// permit. Only the planner that holds the permit can know that.
func (p *Planner) permitUnused(j *job) bool {
	return p.isOwnPermit(j.stored.Record) && !j.unresolved && !j.mayHaveRun()
}

// writePermits gives permits to the waiting jobs that come first: urgent ones,
// then by priority and age.
func (p *Planner) writePermits(now time.Time) {
	if !p.recordsLoaded || p.storeUnavailable {
		return
	}
	remaining := maxUnusedPermits
	var candidates []permitCandidate
	for _, j := range p.jobs {
		switch {
		case j.permit.writing, p.permitUnused(j):
			remaining--
		case eligibleForPermit(j, now):
			candidates = append(candidates, p.permitCandidate(j))
		}
	}
	if remaining <= 0 {
		return
	}
	slices.SortFunc(candidates, permitCandidate.compare)
	for _, c := range candidates[:min(remaining, len(candidates))] {
		p.writePermit(c.job)
	}
}

func eligibleForPermit(j *job, now time.Time) bool {
	return j.isWaiting() && !j.withheld && j.exceeded == nil &&
		j.stored.EligibleForPermit() && now.Sub(j.stored.Submitted) >= permitDelay
}

// permitCandidate is a job that may be given a permit, with its sort keys.
type permitCandidate struct {
	job      *job
	urgent   bool
	priority int
}

func (p *Planner) permitCandidate(j *job) permitCandidate {
	c := permitCandidate{job: j}
	if class, ok := p.doc.Document.Class(j.stored.Spec.Class); ok {
		c.urgent, c.priority = class.Urgent, class.Priority
	}
	return c
}

func (c permitCandidate) compare(other permitCandidate) int {
	if c.urgent != other.urgent {
		if c.urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(other.priority, c.priority),
		c.job.stored.Submitted.Compare(other.job.stored.Submitted),
	)
}

func (p *Planner) writePermit(j *job) {
	j.permit.writing = true
	baseRev := j.stored.Rev
	next := j.stored.WithPermit(p.cfg.Epoch)
	p.tomb.Go(func() error {
		ctx, cancel := p.context(requestTimeout)
		defer cancel()
		got, err := p.cfg.Jobs.Update(ctx, next)
		p.post(func() { p.handlePermitWritten(j, baseRev, got, err) })
		return nil
	})
}

// handlePermitWritten handles the outcome of writePermit. If it is unknown,
// the watch delivers the permit in case it was written.
func (p *Planner) handlePermitWritten(j *job, baseRev store.Revision, got jobs.Stored, err error) {
	j.permit.writing = false
	p.handleStoreError(err)
	switch {
	case err == nil:
		p.cfg.Metrics.Add(metrics.PermitsWritten, 1)
		p.applyOwnWrite(j, got, baseRev)
	case eris.Is(err, jobs.ErrConflict):
		p.handleRecordChange(got)
	}
}

// applyOwnWrite takes over a record that this planner wrote over baseRev. An
// attempt based on that revision stays valid.
func (p *Planner) applyOwnWrite(j *job, got jobs.Stored, baseRev store.Revision) {
	if got.Rev > j.stored.Rev {
		j.updateRecord(got)
	}
	if j.baseRevision == baseRev {
		j.baseRevision = got.Rev
	}
}

// startOnPermit lets an attempt continue whose start is covered by the permit.
func (p *Planner) startOnPermit(j *job, plan gang.Plan) {
	if !j.permit.mayHaveBeenUsed {
		p.cfg.Metrics.Add(metrics.PermitsUsed, 1)
	}
	j.permit.mayHaveBeenUsed = true
	j.permitPlan = plan
	j.coord.RetainSucceeded() // the permit may have been confirmed after the attempt began
	j.stored.Started = time.Now()
	j.stored.Attempt = uint64(j.attempt)
	p.postFromLoop(func() { p.notifyRecorded(j, plan.ID, gang.RecordWritten) })
}

// recordPlacements records where attempts run that were started on permits:
// own ones after placementDelay, those of an earlier planner at once, so that
// no other successor has to search for them.
func (p *Planner) recordPlacements(now time.Time) {
	if p.storeUnavailable {
		return
	}
	for _, j := range p.jobs {
		if j.coord == nil || !j.stored.IsPermit() || j.permit.placing || j.phase != Running || j.finalRecord != nil {
			continue
		}
		if j.stored.Epoch != p.cfg.Epoch || now.Sub(j.stored.Started) >= placementDelay {
			p.recordPlacement(j)
		}
	}
}

func (p *Planner) recordPlacement(j *job) {
	j.permit.placing, j.permit.void = true, true
	plan := j.coord.Plan()
	baseRev := j.stored.Rev
	next := j.stored
	next.Number = plan.ID.Number
	next.Members = recordMembers(plan)
	next.Failures = j.failures
	p.tomb.Go(func() error {
		ctx, cancel := p.context(requestTimeout)
		defer cancel()
		got, err := p.cfg.Jobs.Update(ctx, next)
		p.post(func() { p.handlePlacementWritten(j, baseRev, got, err) })
		return nil
	})
}

func (p *Planner) handlePlacementWritten(j *job, baseRev store.Revision, got jobs.Stored, err error) {
	j.permit.placing = false
	p.handleStoreError(err)
	switch {
	case p.jobs[j.stored.ID] != j:
	case err == nil:
		p.applyOwnWrite(j, got, baseRev)
	case eris.Is(err, jobs.ErrConflict):
		p.handleRecordChange(got)
	}
}

// finalizePermit completes the final record of a job that ends on its permit.
// Attempt 0 claims that the job did not run.
func (p *Planner) finalizePermit(j *job, final *jobs.Stored) {
	final.Number = j.permitPlan.ID.Number
	final.Members = recordMembers(j.permitPlan)
	if p.permitUnused(j) {
		final.Attempt = 0
		final.Started = time.Time{}
	}
}

// returnPermits returns unused permits at the end of a term, so that the
// successor may start these jobs at once. They must not be used afterwards.
// The successor resolves permits that can't be returned.
func (p *Planner) returnPermits() {
	ctx, cancel := context.WithTimeout(context.Background(), permitReturnTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, j := range p.jobs {
		if j.finalRecord != nil || j.stored.CancelRequested {
			continue
		}
		switch {
		case p.permitUnused(j):
			wg.Go(func() { p.returnPermit(ctx, j.stored) })
		case j.permit.writing:
			wg.Go(func() { p.returnUnconfirmedPermit(ctx, j.stored.ID) })
		}
	}
	wg.Wait()
}

func (p *Planner) returnPermit(ctx context.Context, r jobs.Stored) {
	if _, err := p.cfg.Jobs.Update(ctx, r.WithoutPermit()); err != nil {
		p.cfg.Log.WithError(err).WithField("job", r.ID).Info("failed to return unused permit: the successor has to search for the job")
		return
	}
	p.cfg.Metrics.Add(metrics.PermitsReturned, 1)
}

// returnUnconfirmedPermit returns a permit whose write was not confirmed when
// the term ended. Otherwise the successor would delay the job for the loss
// timeout, because the permit might have been used. A permit that is stored
// only after this read is resolved by the successor.
func (p *Planner) returnUnconfirmedPermit(ctx context.Context, id string) {
	r, err := p.cfg.Jobs.Get(ctx, p.cfg.Service, id)
	if err != nil {
		p.cfg.Log.WithError(err).WithField("job", id).Info("failed to read job with unconfirmed permit: the successor has to search for it")
		return
	}
	if p.isOwnPermit(r.Record) && !r.CancelRequested {
		p.returnPermit(ctx, r)
	}
}
