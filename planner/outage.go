package planner

import (
	"slices"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// probeJobID is not the ID of any job; reading its record shows whether the
// store answers.
const probeJobID = "-"

// handleStoreError handles the outcome of a write. If the store did not answer
// it is treated as unavailable until a probe succeeds.
func (p *Planner) handleStoreError(err error) {
	if p.storeUnavailable || !eris.Is(err, store.ErrUnavailable) && !eris.Is(err, jobs.ErrOutcomeUnknown) {
		return
	}
	p.cfg.Log.Warn("store unavailable: starting only jobs with a permit")
	p.storeUnavailable = true
	p.probeStore()
}

// probeStore reads from the store until it answers.
func (p *Planner) probeStore() {
	p.tomb.Go(func() error {
		ctx, cancel := p.context(requestTimeout)
		defer cancel()
		_, err := p.cfg.Jobs.Get(ctx, p.cfg.Service, probeJobID)
		if err == nil || eris.Is(err, jobs.ErrNotFound) {
			p.post(p.handleStoreRecovered)
		} else {
			p.postAfter(storeRetryInterval, p.probeStore)
		}
		return nil
	})
}

// handleStoreRecovered resubmits the jobs that were withheld because of the
// store.
func (p *Planner) handleStoreRecovered() {
	p.cfg.Log.Info("store available again")
	p.storeUnavailable = false
	var withheld []*job
	for _, j := range p.jobs {
		if j.withheld && !j.unresolved {
			withheld = append(withheld, j)
		}
	}
	p.resubmit(withheld)
}

// withholdUnpermitted keeps jobs that can't start before the store is
// available again out of the scheduler. Otherwise their attempts would
// repeatedly reserve accelerators and time out, and take them from jobs that
// have a permit.
func (p *Planner) withholdUnpermitted() {
	if !p.storeUnavailable {
		return
	}
	for _, j := range p.jobs {
		if j.isWaiting() && !j.withheld && !p.permitUsable(j) {
			p.withhold(j)
		}
	}
}

// withhold removes a waiting job from the scheduler. The job stays accepted.
func (p *Planner) withhold(j *job) {
	j.withheld = true
	p.withdrawJob(j.stored.ID)
}

// resubmit returns withheld jobs to the scheduler, in the order of their
// submission.
func (p *Planner) resubmit(withheld []*job) {
	slices.SortFunc(withheld, func(a, b *job) int { return a.stored.Submitted.Compare(b.stored.Submitted) })
	var newJobs []scheduler.Job
	for _, j := range withheld {
		j.withheld, j.unresolved = false, false
		if j.finalRecord != nil {
			continue
		}
		if j.stored.CancelRequested {
			p.endCancelled(j)
			continue
		}
		s := schedulerJob(j.stored.Record, p.doc.Document)
		s.LastAttempt = max(s.LastAttempt, j.attempt)
		newJobs = append(newJobs, s)
	}
	if len(newJobs) > 0 {
		p.stepScheduler(scheduler.JobsSubmitted{Jobs: newJobs})
	}
}
