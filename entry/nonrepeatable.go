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
	// resolveInterval is how often an agent is asked what became of an attempt. It
	// holds its answer for resolveHold while the attempt runs.
	resolveInterval = 500 * time.Millisecond
	resolveWait     = 400 * time.Millisecond
	// resolveTimeout bounds one such question.
	resolveTimeout = time.Second
	// unresponsiveAgentTimeout is for how long the agent may leave such questions
	// unanswered. When it is dead its answer is lost for good; its caller then
	// hears so at once and not at the deadline.
	unresponsiveAgentTimeout = 3 * time.Second
	// attemptMaxAge is that of the agents' tables; see attempts.RequestConfig.
	attemptMaxAge = 5 * time.Minute
	// deliveryEventBuffer bounds what waits for a delivery's loop: one reply each of the
	// store, the attempt and the questions about it.
	deliveryEventBuffer = 16
)

// attemptIssuer numbers the attempts of this process.
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

// doNonRepeatable runs a call that must not run twice. Each delivery is one
// attempts.Request; another one follows only after the proof that the first did
// not run.
func (d *dispatcher) doNonRepeatable(ctx context.Context, q *quickRequest) (*wire.ExecuteReply, *api.Problem) {
	var tried []routing.TargetID
	for attemptNumber := 0; ; attemptNumber++ {
		ticket, refusal := d.router.Pick(d.now(), d.routingQuery(q, attemptNumber, tried))
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

func (d *dispatcher) mayRetry(ctx context.Context, q *quickRequest, finished attempts.Finished) bool {
	if finished.Outcome != attempts.NotRun || finished.Reason != attempts.ReasonRefused {
		return false
	}
	return ctx.Err() == nil && d.router.Retry(d.now(), q.account)
}
