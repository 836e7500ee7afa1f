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

// notifyJobSubmitted tells the planner of a job that is on record at a revision; of one that has
// ended, which has none, nobody needs to hear.
func (g *Gateway) notifyJobSubmitted(outcome link.Outcome, job *workload.Job, revision store.Revision) {
	if outcome == link.OutcomeStored && revision != 0 {
		g.notifyPlanner(&link.Notice{Job: job, Order: int64(revision)})
	}
}

// notifyPlanner tells the planner of a record at once; its watch of the store, which may hear
// nothing for a second, tells it in any case.
func (g *Gateway) notifyPlanner(n *link.Notice) {
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
		_, _ = g.pool.Call(ctx, planner, n) // the watch makes up for a lost notice
	}()
}

// handleNotice passes a notice on to the term, if there is one.
//
// The failure that knowsEnded guards against: a notice is held up on its way for seconds,
// its job runs and ends meanwhile, and another planner takes over. To the new one the job
// would look like one that was just handed in, as long as it has not read the outcomes, and
// run again. Its watch tells it of all that was handed in since it has the duty.
func (g *Gateway) handleNotice(n *link.Notice) {
	t := g.currentTerm()
	if t == nil || !t.active() {
		return
	}
	if n.Job != nil && t.outcomesLoaded.Load() {
		t.postEvent(engine.JobSubmitted{Job: *n.Job, Revision: n.Order})
	}
	if n.Cancel != "" {
		t.postEvent(engine.CancelRequested{Job: n.Cancel})
	}
}

// outcomeOfCallError says what an error of a relayed write means: only a message that was certainly
// not handled is certainly not done.
func outcomeOfCallError(err error) link.Outcome {
	if errors.Is(err, wire.ErrNotSent) {
		return link.OutcomeNotDone
	}
	return link.OutcomeUnknown
}
