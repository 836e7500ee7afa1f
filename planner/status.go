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

// Status returns what the planner knows of a job. False: nothing; the record
// may tell more. It is safe for concurrent use.
func (p *Planner) Status(ctx context.Context, id string) (Status, bool) {
	type answer struct {
		status Status
		known  bool
	}
	answers := make(chan answer, 1)
	p.post(func() {
		s, ok := p.status(id)
		answers <- answer{s, ok}
	})
	select {
	case a := <-answers:
		return a.status, a.known
	case <-ctx.Done():
	case <-p.t.Dying():
	}
	return Status{}, false
}

func (p *Planner) status(id string) (Status, bool) {
	if j := p.jobs[id]; j != nil {
		return Status{Record: j.stored.Record, Phase: j.phase, Members: j.members()}, true
	}
	if r, ok := p.recent.Get(id); ok {
		return Status{Record: r.Record, Members: r.Members}, true
	}
	return Status{}, false
}
