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
	// maxPermits is how many jobs of a domain hold an unused permit.
	maxPermits = 64
	// permitAfter is how long a job waits before it is given one: what starts at
	// once must not cost a further write.
	permitAfter = 2 * time.Second
	// placeAfter is how long an attempt runs on a permit before its placement is
	// recorded, so that short jobs cost no further write.
	placeAfter = 10 * time.Second
	// returnTimeout bounds the writes at the end of a term.
	returnTimeout = time.Second
)

// permit is what the planner that wrote a job's permit knows of it.
type permit struct {
	// writing: the write of the permit is under way.
	writing bool
	// used: an attempt may have been started on it.
	used bool
	// void: the placement may have taken its place in the record, and a successor
	// would then look for that attempt alone. Nothing more is started on it.
	void bool
	// placing: the write of the placement is under way.
	placing bool
}

// ownPermit says whether the record is a permit of this planner.
func (p *Planner) ownPermit(r jobs.Record) bool {
	return r.IsPermit() && r.Epoch == p.cfg.Epoch
}

// usable says whether the job may be started without a write.
func (p *Planner) usable(j *job) bool {
	return p.ownPermit(j.stored.Record) && !j.permit.void && !j.held && !j.stored.CancelRequested && j.ending == nil
}

// unused says whether it is certain that nothing was started on the job's permit.
// Only the planner that holds it can say so.
func (p *Planner) unused(j *job) bool {
	return p.ownPermit(j.stored.Record) && !j.held && !j.mayHaveRun()
}

// writePermits gives permits to the first of the jobs that wait: urgent ones, then
// by priority and age.
func (p *Planner) writePermits(now time.Time) {
	if !p.rebuilt || p.storeOut {
		return
	}
	room := maxPermits
	var waiting []candidate
	for _, j := range p.jobs {
		switch {
		case j.permit.writing, p.unused(j):
			room--
		case permittable(j, now):
			waiting = append(waiting, p.candidate(j))
		}
	}
	if room <= 0 {
		return
	}
	slices.SortFunc(waiting, candidate.compare)
	for _, c := range waiting[:min(room, len(waiting))] {
		p.writePermit(c.job)
	}
}

func permittable(j *job, now time.Time) bool {
	return j.waits() && !j.withheld && j.limit == nil &&
		j.stored.EligibleForPermit() && now.Sub(j.stored.Submitted) >= permitAfter
}

// candidate is a job that may be given a permit, with what decides its turn.
type candidate struct {
	job      *job
	urgent   bool
	priority int
}

func (p *Planner) candidate(j *job) candidate {
	c := candidate{job: j}
	if class, ok := p.doc.Document.Class(j.stored.Spec.Class); ok {
		c.urgent, c.priority = class.Urgent, class.Priority
	}
	return c
}

func (c candidate) compare(d candidate) int {
	if c.urgent != d.urgent {
		if c.urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(d.priority, c.priority),
		c.job.stored.Submitted.Compare(d.job.stored.Submitted),
	)
}

func (p *Planner) writePermit(j *job) {
	j.permit.writing = true
	from := j.stored.Rev
	next := j.stored.WithPermit(p.cfg.Epoch)
	p.t.Go(func() error {
		ctx, cancel := p.context(sendTimeout)
		defer cancel()
		got, err := p.cfg.Jobs.Update(ctx, next)
		p.post(func() { p.permitWritten(j, from, got, err) })
		return nil
	})
}

// permitWritten takes the outcome of writePermit. Where it is not known, the watch
// brings the permit if it was written.
func (p *Planner) permitWritten(j *job, from store.Revision, got jobs.Stored, err error) {
	j.permit.writing = false
	p.noteStore(err)
	switch {
	case err == nil:
		p.cfg.Metrics.Add(metrics.PermitsWritten, 1)
		p.keep(j, got, from)
	case eris.Is(err, jobs.ErrConflict):
		p.changed(got)
	}
}

// keep takes over a record that this planner wrote over the revision from. An
// attempt that was decided meanwhile need not be given up for it.
func (p *Planner) keep(j *job, got jobs.Stored, from store.Revision) {
	if got.Rev > j.stored.Rev {
		j.replace(got)
	}
	if j.decided == from {
		j.decided = got.Rev
	}
}

// startOnPermit lets an attempt go on whose start the permit has recorded.
func (p *Planner) startOnPermit(j *job, plan gang.Plan) {
	if !j.permit.used {
		p.cfg.Metrics.Add(metrics.PermitsUsed, 1)
	}
	j.permit.used = true
	j.placed = plan
	j.stored.Started = time.Now()
	j.stored.Attempt = uint64(j.attempt)
	p.post0(func() { p.recordedAs(j, plan.ID, gang.RecordWritten) })
}

// placeRunning records where attempts run that were started on permits, once they
// have run for a while. Those of an earlier planner were found by a search of all
// agents, which nobody should have to repeat.
func (p *Planner) placeRunning(now time.Time) {
	if p.storeOut {
		return
	}
	for _, j := range p.jobs {
		if j.coord == nil || !j.stored.IsPermit() || j.permit.placing || j.phase != Running || j.ending != nil {
			continue
		}
		if j.stored.Epoch != p.cfg.Epoch || now.Sub(j.stored.Started) >= placeAfter {
			p.place(j)
		}
	}
}

func (p *Planner) place(j *job) {
	j.permit.placing, j.permit.void = true, true
	plan := j.coord.Plan()
	from := j.stored.Rev
	next := j.stored
	next.Number = plan.ID.Number
	next.Members = membersOf(plan)
	p.t.Go(func() error {
		ctx, cancel := p.context(sendTimeout)
		defer cancel()
		got, err := p.cfg.Jobs.Update(ctx, next)
		p.post(func() { p.placeWritten(j, from, got, err) })
		return nil
	})
}

func (p *Planner) placeWritten(j *job, from store.Revision, got jobs.Stored, err error) {
	j.permit.placing = false
	p.noteStore(err)
	switch {
	case p.jobs[j.stored.ID] != j:
	case err == nil:
		p.keep(j, got, from)
	case eris.Is(err, jobs.ErrConflict):
		p.changed(got)
	}
}

// closePermit makes the final record of a job that is ended on its permit. Attempt
// 0 claims that it did not run.
func (p *Planner) closePermit(j *job, final *jobs.Stored) {
	final.Number = j.placed.ID.Number
	final.Members = membersOf(j.placed)
	if p.unused(j) {
		final.Attempt = 0
		final.Started = time.Time{}
	}
}

// returnPermits gives unused permits back at the end of a term, so that the
// successor may start these jobs at once. Nothing is sent on them any more. What
// can't be written the successor finds out itself.
func (p *Planner) returnPermits() {
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, j := range p.jobs {
		if j.ending != nil || j.stored.CancelRequested {
			continue
		}
		switch {
		case p.unused(j):
			wg.Go(func() { p.returnPermit(ctx, j.stored) })
		case j.permit.writing:
			wg.Go(func() { p.returnUnheard(ctx, j.stored.ID) })
		}
	}
	wg.Wait()
}

func (p *Planner) returnPermit(ctx context.Context, r jobs.Stored) {
	if _, err := p.cfg.Jobs.Update(ctx, r.WithoutPermit()); err != nil {
		p.cfg.Log.WithError(err).WithField("job", r.ID).Info("permit not returned; the successor has to find out")
		return
	}
	p.cfg.Metrics.Add(metrics.PermitsReturned, 1)
}

// returnUnheard gives a permit back whose write the term's end overtook.
//
// The failure this guards against: the store has the permit, the planner has not heard
// so, and its successor, to which any permit may have been used, keeps the job waiting
// for the loss timeout. The record tells; a permit that lands after it was read is
// found by the successor's search.
func (p *Planner) returnUnheard(ctx context.Context, id string) {
	r, err := p.cfg.Jobs.Get(ctx, p.cfg.Service, id)
	if err != nil {
		p.cfg.Log.WithError(err).WithField("job", id).Info("permit on its way not looked for")
		return
	}
	if p.ownPermit(r.Record) && !r.CancelRequested {
		p.returnPermit(ctx, r)
	}
}
