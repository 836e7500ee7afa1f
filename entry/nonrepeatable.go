package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/attempts"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/routing"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

const (
	// resolveInterval is how often an agent is asked about the state of an attempt. The
	// agent delays its answer by up to resolveWait while the attempt runs.
	resolveInterval = 500 * time.Millisecond
	resolveWait     = 400 * time.Millisecond
	// resolveTimeout limits one such call.
	resolveTimeout = time.Second
	// unresponsiveAgentTimeout is how long the agent may fail to answer such calls. If it
	// is dead, its result is lost, and the caller learns so before the deadline.
	unresponsiveAgentTimeout = 3 * time.Second
	// attemptMaxAge is the maximum age in the agents' tables; see attempts.RequestConfig.
	attemptMaxAge = 5 * time.Minute
	// deliveryEventBuffer is the capacity of a delivery's event channel: replies of the
	// store, of the attempt and of resolve calls.
	deliveryEventBuffer = 16
)

// attemptIssuer creates the attempt ids of this process.
type attemptIssuer struct {
	claims           *claimStore
	entryIncarnation uint64
	sequence         atomic.Uint64
}

func (i *attemptIssuer) newID(now time.Time, agentIncarnation uint64) attempts.ID {
	return attempts.ID{
		Issued:      now.UnixNano(),
		Entry:       i.entryIncarnation,
		Sequence:    i.sequence.Add(1),
		Incarnation: agentIncarnation,
	}
}

// doNonRepeatable runs a request that must not run twice. Each delivery is one
// attempts.Request; the next one starts only when the previous one is proved not to have
// run.
func (d *dispatcher) doNonRepeatable(ctx context.Context, q *quickRequest) (*wire.ExecuteReply, *api.Problem) {
	var tried []routing.TargetID
	for attemptNumber := 0; ; attemptNumber++ {
		ticket, refusal := d.router.Pick(d.now(), d.pickInfo(q, attemptNumber, tried))
		if !refusal.OK() {
			return nil, pickProblem(refusal, false)
		}
		v := d.newDelivery(ctx, q, ticket, attemptNumber)
		finished := v.run()
		d.router.Done(d.now(), ticket, v.routingOutcome(ctx))
		if finished.Outcome == attempts.Done && !v.attemptSent {
			d.count(metrics.RequestsDeduplicated, 1)
		}
		if finished.Outcome == attempts.Done {
			return decodeReply(finished.Answer), nil
		}
		if !d.mayRetry(ctx, q, finished) {
			return nil, d.raiseRetryAfter(q, v.problem(finished))
		}
		d.count(metrics.RequestsRetried, 1)
		tried = append(tried, ticket.Target)
	}
}

// mayRetry reports whether another target may be tried: the agent refused the attempt and
// the retry budget allows it.
func (d *dispatcher) mayRetry(ctx context.Context, q *quickRequest, finished attempts.Finished) bool {
	if finished.Outcome != attempts.NotRun || finished.Reason != attempts.ReasonRefused {
		return false
	}
	return ctx.Err() == nil && d.router.AllowRetry(d.now(), q.account)
}
