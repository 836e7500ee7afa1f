package gateway

import (
	"context"
	"errors"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/wire"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// notifyJobSubmitted notifies the planner of a stored job. A job that has already ended has
// revision zero and is skipped.
func (g *Gateway) notifyJobSubmitted(outcome link.WriteOutcome, job *workload.Job, revision store.Revision) {
	if outcome == link.OutcomeStored && revision != 0 {
		g.notifyPlanner(&link.RecordNotice{Job: job, Revision: int64(revision)})
	}
}

// notifyPlanner sends a notice of a new record to the planner, which would otherwise learn of
// it from its store watch up to a second later. Notices are best effort.
func (g *Gateway) notifyPlanner(n *link.RecordNotice) {
	_, planner := g.planner.get()
	if planner == g.cfg.Listen {
		g.handleNotice(n)
		return
	}
	if planner == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), lookupTimeout)
		defer cancel()
		_, _ = g.pool.Call(ctx, planner, n) // the watch covers lost notices
	}()
}

// handleNotice passes a notice to the active term. A notice may be delayed until its job has
// run and ended and another planner has taken over. Before the new planner has loaded the
// outcomes of ended jobs, it would take such a job for a new one and run it again, so submissions
// are ignored until then. The watch delivers all jobs submitted since the term began.
func (g *Gateway) handleNotice(n *link.RecordNotice) {
	t := g.currentTerm()
	if t == nil || !t.active() {
		return
	}
	if n.Job != nil && t.outcomesLoaded.Load() {
		t.postEvent(engine.JobSubmitted{Job: *n.Job, Revision: n.Revision})
	}
	if n.Cancel != "" {
		t.postEvent(engine.CancelRequested{Job: n.Cancel})
	}
}

// outcomeOfCallError returns the outcome of a relayed write that failed with err. It is
// OutcomeNotStored only if the peer has certainly not handled the message.
func outcomeOfCallError(err error) link.WriteOutcome {
	if errors.Is(err, wire.ErrNotHandled) {
		return link.OutcomeNotStored
	}
	return link.OutcomeUnknown
}
