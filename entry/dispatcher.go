package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrasshub/eelgrasshub/admission"
	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/routing"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// quickRequest is a caller's quick request, with the settings of its class applied.
type quickRequest struct {
	id            string
	service       string
	account       string
	class         string
	key           string // idempotency key, or empty
	firstDelivery bool   // the caller guarantees that this is the first delivery under the key
	repeatable    bool
	retries       int // further attempts allowed after one that may have run
	deadline      time.Time

	method string
	path   string
	query  string
	header []wire.Header
	body   []byte
}

// executeMessage returns the message for one attempt.
func (q *quickRequest) executeMessage(attemptID string, attemptNumber int, now time.Time) *wire.Execute {
	return &wire.Execute{
		AttemptID:  attemptID,
		RequestID:  q.id,
		Service:    q.service,
		Account:    q.account,
		Class:      q.class,
		Remaining:  q.deadline.Sub(now),
		Repeatable: q.repeatable,
		Method:     q.method,
		Path:       q.path,
		Query:      q.query,
		Header:     q.header,
		Body:       q.body,
		Hops:       attemptNumber,
	}
}

// pickInfo describes the next attempt for the router.
func (d *dispatcher) pickInfo(q *quickRequest, attemptNumber int, tried []routing.TargetID) routing.PickInfo {
	return routing.PickInfo{
		Account:    q.account,
		Attempt:    attemptNumber,
		Exclude:    tried,
		Deadline:   q.deadline,
		AtMostOnce: !q.repeatable,
		Weight:     (*d.weights.Load())[q.account],
	}
}

// dispatcher sends the quick requests of one service to targets.
type dispatcher struct {
	router        *routing.Router
	agents        *agentConns
	attemptIssuer *attemptIssuer
	now           func() time.Time
	count         func(c metrics.Counter, n int64)

	// weights holds the relative weight of each account in the active document.
	weights atomic.Pointer[map[string]float64]

	mu       sync.Mutex // serializes SetTargets, as the router requires
	snapshot uint64     // of the members that the router has
}

// setTargets replaces the targets by those of a snapshot of the members, unless the router
// has those of a later one.
func (d *dispatcher) setTargets(snapshot uint64, targets []routing.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if snapshot < d.snapshot {
		return
	}
	d.snapshot = snapshot
	d.router.SetTargets(d.now(), targets)
}

// do serves a request and returns the target's whole answer or a problem.
func (d *dispatcher) do(ctx context.Context, q *quickRequest) (*wire.ExecuteReply, *api.Problem) {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	if q.repeatable {
		return d.doRepeatable(ctx, q)
	}
	return d.doNonRepeatable(ctx, q)
}

// doRepeatable tries targets until one answers, too many attempts may have run, the retry
// budget is used up or the deadline passes.
func (d *dispatcher) doRepeatable(ctx context.Context, q *quickRequest) (*wire.ExecuteReply, *api.Problem) {
	var tried []routing.TargetID
	maybeRan := 0
	for attemptNumber := 0; ; attemptNumber++ {
		ticket, refusal := d.pick(ctx, q, attemptNumber, tried, maybeRan > 0)
		if !refusal.OK() {
			return nil, pickProblem(refusal, maybeRan > 0)
		}
		reply, err := d.attempt(ctx, ticket, q, attemptNumber)
		if err == nil && reply.Outcome == wire.OutcomeDone {
			return reply, nil
		}
		if mayHaveRun(reply, err) {
			maybeRan++
		}
		if maybeRan > q.retries || ctx.Err() != nil || !d.router.AllowRetry(d.now(), q.account) {
			return nil, d.raiseRetryAfter(q, attemptProblem(reply, err, maybeRan > 0))
		}
		d.count(metrics.RequestsRetried, 1)
		tried = append(tried, ticket.Target)
	}
}

// raiseRetryAfter raises the retry delay of a request that is finally refused to the
// router's delay for the account, so that callers refused together do not all retry at
// the same time.
func (d *dispatcher) raiseRetryAfter(q *quickRequest, p *api.Problem) *api.Problem {
	if p.RetryAfter > 0 {
		p.RetryAfter = max(p.RetryAfter, d.router.RetryAfter(q.account))
	}
	return p
}

// attempt makes one attempt and reports its outcome to the router.
func (d *dispatcher) attempt(ctx context.Context, ticket routing.Ticket, q *quickRequest, attemptNumber int) (*wire.ExecuteReply, error) {
	startedAt := d.now()
	msg := q.executeMessage(q.id, attemptNumber, startedAt)
	got, err := d.agents.call(ctx, string(ticket.Target), msg, connCheckFor(attemptNumber))
	reply, _ := got.(*wire.ExecuteReply)
	if err == nil && reply == nil {
		err = errBadReply
	}
	d.router.Done(d.now(), ticket, attemptOutcome(ctx, reply, err, d.now().Sub(startedAt)))
	return reply, err
}

// connCheckFor returns the connection check for an attempt, counted from 0.
func connCheckFor(attemptNumber int) connCheck {
	if attemptNumber == 0 {
		return anyConn
	}
	return verifiedConn
}

var errBadReply = &wire.CallError{Outcome: wire.ErrOutcomeUnknown, Cause: wire.ErrMalformed}

// mayHaveRun reports whether the attempt may have run.
func mayHaveRun(reply *wire.ExecuteReply, err error) bool {
	if err != nil {
		return !errors.Is(err, wire.ErrNotHandled)
	}
	return reply.Outcome != wire.OutcomeRefused
}

// attemptOutcome returns an attempt's outcome for the router.
func attemptOutcome(ctx context.Context, reply *wire.ExecuteReply, err error, latency time.Duration) routing.Outcome {
	o := routing.Outcome{Latency: latency}
	if err != nil {
		o.Kind = failureKind(ctx, err)
		o.Load.Draining = errors.Is(err, wire.ErrDraining)
		return o
	}
	o.Load = routing.Load{
		Running:    reply.Load.Running,
		Queued:     reply.Load.Queued,
		Marked:     reply.Congested,
		Shedding:   reply.Reason == admission.ReasonOverload.String(),
		Draining:   reply.Draining,
		RetryAfter: reply.RetryAfter,
	}
	o.Kind = answerKind(reply)
	return o
}

func failureKind(ctx context.Context, err error) routing.OutcomeKind {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return routing.TimedOut
	case ctx.Err() != nil:
		return routing.Abandoned
	case errors.Is(err, wire.ErrDraining):
		return routing.Refused
	default:
		return routing.Unreachable
	}
}

func answerKind(reply *wire.ExecuteReply) routing.OutcomeKind {
	switch {
	case reply.Outcome == wire.OutcomeRefused:
		return routing.Refused
	case reply.Outcome != wire.OutcomeDone, reply.Status >= http.StatusInternalServerError:
		return routing.Failed
	default:
		return routing.Answered
	}
}
