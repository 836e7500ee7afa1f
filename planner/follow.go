package planner

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// follow lists the job records and watches them from there, again after each
// end of the watch.
func (p *Planner) follow() error {
	prefix := p.cfg.Jobs.Prefix(p.cfg.Service)
	ctx := p.t.Context(context.Background())
	for {
		snap, err := p.cfg.Store.List(ctx, prefix)
		if err == nil {
			p.post(func() { p.listed(snap) })
			_ = p.cfg.Store.Watch(ctx, prefix, snap.At+1, p.deliver)
		}
		select {
		case <-time.After(storeRetry):
		case <-p.t.Dying():
			return nil
		}
	}
}

func (p *Planner) deliver(b store.WatchBatch) {
	if len(b.Events) == 0 {
		return
	}
	p.post(func() {
		var fresh []scheduler.Job
		for _, ev := range b.Events {
			if ev.Deleted {
				continue // retention has passed; the job had ended
			}
			fresh = p.take(ev.KeyValue, fresh)
		}
		p.submit(fresh)
	})
}

// listed takes in all records at once: at the begin of the term, and after a
// watch could not be resumed.
func (p *Planner) listed(snap store.Snapshot) {
	var fresh []scheduler.Job
	for _, kv := range snap.Keys {
		fresh = p.take(kv, fresh)
	}
	p.submit(fresh)
	p.rebuilt = true
}

func (p *Planner) submit(fresh []scheduler.Job) {
	if p.rebuilt {
		fresh = p.admit(fresh)
	}
	if len(fresh) > 0 {
		p.decide(scheduler.JobsSubmitted{Jobs: fresh})
	}
}

// take brings one record in. New jobs that wait are appended to fresh, so that
// a burst is one decision.
func (p *Planner) take(kv store.KeyValue, fresh []scheduler.Job) []scheduler.Job {
	r, err := jobs.Decode(kv)
	if err != nil {
		p.cfg.Log.WithError(err).Error("job record can't be read; it is left alone")
		return fresh
	}
	if p.jobs[r.ID] != nil {
		p.changed(r)
		return fresh
	}
	// A watch that has fallen behind brings earlier forms of a record whose end
	// this planner has written itself. Taken for news, the start among them would
	// revive the job.
	if last, ok := p.recent.Peek(r.ID); ok && r.Rev <= last.Rev {
		return fresh
	}
	switch {
	case r.State.Ended():
		p.recent.Add(r.ID, r)
	case r.State == jobs.Queued:
		p.jobs[r.ID] = &job{stored: r, phase: Queued}
		fresh = append(fresh, schedulerJob(r.Record, p.doc.Document))
	default:
		p.resume(r)
	}
	return fresh
}

// resume takes over an attempt that an earlier planner recorded.
func (p *Planner) resume(r jobs.Stored) {
	if p.outranked(r) {
		return
	}
	j := &job{stored: r, begun: !r.IsPermit()}
	p.jobs[r.ID] = j
	p.takeOver(j)
	p.cancelIfAsked(j)
}

// resumeJob resolves an attempt with its agents: the one that the job's record
// names, or that a search has found.
func (p *Planner) resumeJob(j *job, plan gang.Plan) {
	r := j.stored
	j.phase = Starting
	j.held, j.withheld = false, false
	j.attempt = scheduler.Attempt(r.Attempt)
	p.attach(j, gang.ResumeCoordinator(p.gangConfig(j), plan))
	p.decide(scheduler.JobRestored{
		Job:       schedulerJob(r.Record, p.doc.Document),
		Attempt:   j.attempt,
		Placement: placementOf(plan),
		Started:   r.Started,
	})
	p.coordinate(j, gang.Begin{})
}

// startedElsewhere says whether the record names an attempt of another planner.
// A predecessor that does not know yet that it was replaced can still record a
// start, because a record's revision guards the job, not the duty. That attempt
// may run; it has to be resolved before the job starts again.
func (p *Planner) startedElsewhere(j *job) bool {
	return p.otherStarted(j.stored)
}

func (p *Planner) otherStarted(r jobs.Stored) bool {
	return r.State == jobs.Starting && r.Epoch != p.cfg.Epoch
}

// changed takes a later form of a record that is known: mostly our own writes
// coming back, otherwise a cancellation.
func (p *Planner) changed(r jobs.Stored) {
	j := p.jobs[r.ID]
	if j == nil || r.Rev <= j.stored.Rev {
		return
	}
	if p.outranked(r) {
		return
	}
	j.replace(r)
	if r.State.Ended() {
		p.endedElsewhere(j, r)
		return
	}
	if r.State == jobs.Queued && j.held {
		p.unhold(j)
		return
	}
	if j.coord == nil && j.ending == nil && p.startedElsewhere(j) {
		p.takeOver(j)
	}
	p.cancelIfAsked(j)
}

// endedElsewhere: an entry cancelled the job while it was queued. An attempt
// that was just being made finds the record changed and is given up; until then
// the job stays known, so that its messages are not orphans.
func (p *Planner) endedElsewhere(j *job, r jobs.Stored) {
	if j.coord != nil {
		j.ending = &r
		p.withdraw(r.ID)
		return
	}
	p.forget(j, r)
}

func (p *Planner) cancelIfAsked(j *job) {
	if j.stored.CancelRequested {
		p.withdraw(j.stored.ID)
	}
}
