package entry

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/routing"
)

const (
	// repickTimeout is how long a request that lost an attempt waits for a target. It
	// leaves time to replace an unresponsive connection.
	repickTimeout = time.Second
	// repickInterval is the minimum time between two tries.
	repickInterval = 50 * time.Millisecond
)

// pick chooses the target of the next attempt. If an earlier attempt may have run, a
// refusal by the router is retried for up to repickTimeout: when all connections fail at
// once, the router refuses until new ones are open, and the request would otherwise end
// as "unknown" with most of its deadline left. Targets that were already tried are then
// allowed again, since their connections have been replaced by then.
func (d *dispatcher) pick(ctx context.Context, q *quickRequest, attemptNumber int, tried []routing.TargetID, maybeRan bool) (routing.Ticket, routing.Refusal) {
	giveUpAt := d.now().Add(repickTimeout)
	for {
		ticket, refusal := d.router.Pick(d.now(), d.pickInfo(q, attemptNumber, tried))
		wait := max(refusal.RetryAfter, repickInterval)
		noTimeLeft := refusal.Reason == routing.DeadlineExceeded || d.now().Add(wait).After(giveUpAt)
		if refusal.OK() || !maybeRan || noTimeLeft || ctx.Err() != nil {
			return ticket, refusal
		}
		sleep(ctx, wait)
		tried = nil
	}
}
