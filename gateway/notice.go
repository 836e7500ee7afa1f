package gateway

import (
	"context"
	"errors"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// notice tells the planner of a record at once; its watch of the store, which may hear
// nothing for a second, tells it in any case.
func (g *Gateway) notice(n *link.Notice) {
	_, planner := g.planners.get()
	if planner == g.cfg.Listen {
		g.takeNotice(n)
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

func (g *Gateway) takeNotice(n *link.Notice) {
	t := g.currentTerm()
	if t == nil || !t.active() {
		return
	}
	if n.Job != nil {
		t.post(engine.Submitted{Job: *n.Job, Order: n.Order})
	}
	if n.Cancel != "" {
		t.post(engine.CancelRequested{Job: n.Cancel})
	}
}

// unsent says what an error of a relayed write means: only a message that was certainly
// not handled is certainly not done.
func unsent(err error) link.Outcome {
	if errors.Is(err, wire.ErrNotSent) {
		return link.OutcomeNotDone
	}
	return link.OutcomeUnknown
}
