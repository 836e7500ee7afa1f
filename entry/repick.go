package entry

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/routing"
)

const (
	// repickPatience is for how long a request of which an attempt was lost waits
	// for a target to come back. A silent connection is replaced well within it.
	repickPatience = time.Second
	// repickPause is the least time between two tries meanwhile.
	repickPause = 50 * time.Millisecond
)

// pick chooses the target of the next attempt. Where an earlier one may have run, a
// refusal by the router does not end the request at once.
//
// The failure this guards against: all connections go silent in the same moment. The
// attempt under way is lost, and while new connections are made the router refuses
// the next one. It shows as callers that hear "unknown" of requests that may run
// twice and have most of their deadline left. The request is not given up meanwhile:
// its next attempt is made as soon as the router lets it, also at a target that it
// was lost at, whose path is a new one by then.
func (d *dispatcher) pick(ctx context.Context, c *call, attempt int, tried []routing.TargetID, maybeRan bool) (routing.Ticket, routing.Refusal) {
	until := d.now().Add(repickPatience)
	for {
		ticket, refusal := d.router.Pick(d.now(), d.query(c, attempt, tried))
		wait := max(refusal.RetryAfter, repickPause)
		hopeless := refusal.Reason == routing.DeadlineExceeded || d.now().Add(wait).After(until)
		if refusal.OK() || !maybeRan || hopeless || ctx.Err() != nil {
			return ticket, refusal
		}
		pause(ctx, wait)
		tried = nil
	}
}
