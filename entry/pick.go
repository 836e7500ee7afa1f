package entry

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/routing"
)

const (
	// repickTimeout is for how long a request of which an attempt was lost waits
	// for a target to come back. A silent connection is replaced well within it.
	repickTimeout = time.Second
	// repickInterval is the least time between two tries meanwhile.
	repickInterval = 50 * time.Millisecond
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
func (d *dispatcher) pick(ctx context.Context, q *quickRequest, attemptNumber int, tried []routing.TargetID, maybeRan bool) (routing.Ticket, routing.Refusal) {
	giveUpAt := d.now().Add(repickTimeout)
	for {
		ticket, refusal := d.router.Pick(d.now(), d.routingQuery(q, attemptNumber, tried))
		wait := max(refusal.RetryAfter, repickInterval)
		noTimeLeft := refusal.Reason == routing.TooLate || d.now().Add(wait).After(giveUpAt)
		if refusal.OK() || !maybeRan || noTimeLeft || ctx.Err() != nil {
			return ticket, refusal
		}
		sleep(ctx, wait)
		tried = nil
	}
}
