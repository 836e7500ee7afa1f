package planner

import (
	"slices"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// probeJobID is the id of no job; reading its record shows that the store answers.
const probeJobID = "-"

// noteStoreError takes the outcome of a write: one that the store did not answer shows
// that it is out, or that this planner is cut off from it.
func (p *Planner) noteStoreError(err error) {
	if p.storeUnavailable || !eris.Is(err, store.ErrUnavailable) && !eris.Is(err, jobs.ErrOutcomeUnknown) {
		return
	}
	p.cfg.Log.Warn("store out: only jobs with a permit are started")
	p.storeUnavailable = true
	p.probeStore()
}

// probeStore asks the store until it answers.
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

// handleStoreRecovered lets the jobs back into the queue that waited for the store.
func (p *Planner) handleStoreRecovered() {
	p.cfg.Log.Info("store back")
	p.storeUnavailable = false
	var withheld []*job
	for _, j := range p.jobs {
		if j.withheld && !j.unresolved {
			withheld = append(withheld, j)
		}
	}
	p.resubmit(withheld)
}

// withholdUnpermitted takes jobs out of the scheduler that can't be started before
// the store is back.
//
// The failure this guards against: the head of the queue has no permit, its
// attempts reserve accelerators, wait for a record that can't be written, and give
// up, over and over, while jobs with permits find nothing free.
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

// withhold takes a job that waits out of the scheduler. It stays accepted.
func (p *Planner) withhold(j *job) {
	j.withheld = true
	p.withdrawJob(j.stored.ID)
}

// resubmit lets withheld jobs wait at their old places.
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
