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
	// resolvePoll is how often an agent is asked what became of an attempt. It
	// holds its answer for resolveHold while the attempt runs.
	resolvePoll = 500 * time.Millisecond
	resolveHold = 400 * time.Millisecond
	// resolveTimeout bounds one such question.
	resolveTimeout = time.Second
	// resolvePatience is for how long the agent may leave such questions
	// unanswered. When it is dead its answer is lost for good; its caller then
	// hears so at once and not at the deadline.
	resolvePatience = 3 * time.Second
	// attemptMaxAge is that of the agents' tables; see attempts.RequestConfig.
	attemptMaxAge = 5 * time.Minute
	// onceEvents bounds what waits for a delivery's loop: one reply each of the
	// store, the attempt and the questions about it.
	onceEvents = 16
)

// onceRunner numbers the attempts of this process.
type onceRunner struct {
	claims   *claims
	process  uint64
	sequence atomic.Uint64
}

func (o *onceRunner) newID(now time.Time, incarnation uint64) attempts.ID {
	return attempts.ID{
		Issued:      now.UnixNano(),
		Entry:       o.process,
		Sequence:    o.sequence.Add(1),
		Incarnation: incarnation,
	}
}

// onlyOnce runs a call that must not run twice. Each delivery is one
// attempts.Request; another one follows only after the proof that the first did
// not run.
func (d *dispatcher) onlyOnce(ctx context.Context, c *call) (*wire.ExecuteReply, *api.Problem) {
	var tried []routing.TargetID
	for n := 0; ; n++ {
		ticket, refusal := d.router.Pick(d.now(), d.query(c, n, tried))
		if !refusal.OK() {
			return nil, pickProblem(refusal, false)
		}
		v := d.newDelivery(ctx, c, ticket, n)
		end := v.run()
		d.router.Done(d.now(), ticket, v.outcome(ctx))
		if end.Outcome == attempts.Done && !v.sent {
			d.count(metrics.RequestsDeduplicated, 1)
		}
		if end.Outcome == attempts.Done {
			return decodeReply(end.Answer), nil
		}
		if !d.again(ctx, c, end) {
			return nil, d.refusal(c, v.problem(end))
		}
		d.count(metrics.RequestsRetried, 1)
		tried = append(tried, ticket.Target)
	}
}

func (d *dispatcher) again(ctx context.Context, c *call, end attempts.Finished) bool {
	if end.Outcome != attempts.NotRun || end.Reason != attempts.ReasonRefused {
		return false
	}
	return ctx.Err() == nil && d.router.AllowRetry(d.now(), c.account)
}
