package planner

import (
	"context"

	"github.com/eelgrasshub/eelgrasshub/jobs"
)

// Status is a job as the planner knows it.
type Status struct {
	Record jobs.Record
	// Phase is empty for a job that has ended.
	Phase   Phase
	Members []jobs.Member
}

// Status returns what the planner knows of a job, or false if it knows
// nothing; there may still be a record of the job. It is safe for concurrent
// use.
func (p *Planner) Status(ctx context.Context, id string) (Status, bool) {
	type answer struct {
		status Status
		known  bool
	}
	a, _ := callOnLoop(ctx, p, func() answer {
		s, ok := p.status(id)
		return answer{s, ok}
	})
	return a.status, a.known
}

// callOnLoop runs f on the loop's goroutine and returns its result, or false
// if the context or the term ended first.
func callOnLoop[T any](ctx context.Context, p *Planner, f func() T) (T, bool) {
	var zero T
	answers := make(chan T, 1)
	select {
	case p.work <- func() { answers <- f() }:
	case <-ctx.Done():
		return zero, false
	case <-p.tomb.Dying():
		return zero, false
	}
	select {
	case a := <-answers:
		return a, true
	case <-ctx.Done():
	case <-p.tomb.Dying():
	}
	return zero, false
}

func (p *Planner) status(id string) (Status, bool) {
	if j := p.jobs[id]; j != nil {
		phase := j.phase
		if j.unresolved || phase == Running && !j.startsConfirmed() {
			phase = Starting // it may be running
		}
		return Status{Record: j.stored.Record, Phase: phase, Members: j.members()}, true
	}
	if r, ok := p.recentlyEnded.Get(id); ok {
		return Status{Record: r.Record, Members: r.Members}, true
	}
	return Status{}, false
}
