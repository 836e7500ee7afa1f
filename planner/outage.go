package planner

import (
	"slices"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// probeID is the id of no job; reading its record shows that the store answers.
const probeID = "-"

// noteStore takes the outcome of a write: one that the store did not answer shows
// that it is out, or that this planner is cut off from it.
func (p *Planner) noteStore(err error) {
	if p.storeOut || !eris.Is(err, store.ErrUnavailable) && !eris.Is(err, jobs.ErrOutcomeUnknown) {
		return
	}
	p.cfg.Log.Warn("store out: only jobs with a permit are started")
	p.storeOut = true
	p.probe()
}

// probe asks the store until it answers.
func (p *Planner) probe() {
	p.t.Go(func() error {
		ctx, cancel := p.context(sendTimeout)
		defer cancel()
		_, err := p.cfg.Jobs.Get(ctx, p.cfg.Service, probeID)
		if err == nil || eris.Is(err, jobs.ErrNotFound) {
			p.post(p.foundStore)
		} else {
			p.later(storeRetry, p.probe)
		}
		return nil
	})
}

// foundStore lets the jobs back into the queue that waited for the store.
func (p *Planner) foundStore() {
	p.cfg.Log.Info("store back")
	p.storeOut = false
	var back []*job
	for _, j := range p.jobs {
		if j.withheld && !j.held {
			back = append(back, j)
		}
	}
	p.release(back)
}

// withholdUnpermitted takes jobs out of the scheduler that can't be started before
// the store is back.
//
// The failure this guards against: the head of the queue has no permit, its
// attempts reserve accelerators, wait for a record that can't be written, and give
// up, over and over, while jobs with permits find nothing free.
func (p *Planner) withholdUnpermitted() {
	if !p.storeOut {
		return
	}
	for _, j := range p.jobs {
		if j.waits() && !j.withheld && !p.usable(j) {
			p.withhold(j)
		}
	}
}

// withhold takes a job that waits out of the scheduler. It stays accepted.
func (p *Planner) withhold(j *job) {
	j.withheld = true
	p.withdraw(j.stored.ID)
}

// release lets withheld jobs wait at their old places.
func (p *Planner) release(back []*job) {
	slices.SortFunc(back, func(a, b *job) int { return a.stored.Submitted.Compare(b.stored.Submitted) })
	var fresh []scheduler.Job
	for _, j := range back {
		j.withheld, j.held = false, false
		if j.ending != nil {
			continue
		}
		if j.stored.CancelRequested {
			p.endCancelled(j)
			continue
		}
		s := schedulerJob(j.stored.Record, p.doc.Document)
		s.LastAttempt = max(s.LastAttempt, j.attempt)
		fresh = append(fresh, s)
	}
	if len(fresh) > 0 {
		p.decide(scheduler.JobsSubmitted{Jobs: fresh})
	}
}
