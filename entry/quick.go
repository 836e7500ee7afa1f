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

// call is one quick request on its way through this entry.
type call struct {
	id       string
	service  string
	account  string
	class    string
	key      string // idempotency key, empty for none
	first    bool   // the caller vouches for the first delivery under the key
	repeat   bool
	retries  int // attempts after one that may have run
	deadline time.Time

	method string
	path   string
	query  string
	header []wire.Header
	body   []byte
}

// execute is the message for one attempt.
func (c *call) execute(attempt string, hop int, now time.Time) *wire.Execute {
	return &wire.Execute{
		AttemptID:  attempt,
		RequestID:  c.id,
		Service:    c.service,
		Account:    c.account,
		Class:      c.class,
		Remaining:  c.deadline.Sub(now),
		Repeatable: c.repeat,
		Method:     c.method,
		Path:       c.path,
		Query:      c.query,
		Header:     c.header,
		Body:       c.body,
		Hops:       hop,
	}
}

// query describes the next attempt to the router.
func (d *dispatcher) query(c *call, attempt int, tried []routing.TargetID) routing.Query {
	return routing.Query{
		Account:  c.account,
		Attempt:  attempt,
		Exclude:  tried,
		Deadline: c.deadline,
		Once:     !c.repeat,
		Weight:   (*d.weights.Load())[c.account],
	}
}

// dispatcher sends the quick requests of one service to targets.
type dispatcher struct {
	router *routing.Router
	agents *agents
	once   *onceRunner
	now    func() time.Time
	count  func(c metrics.Counter, n int64)

	// weights is each account's over the mean, by the document in force.
	weights atomic.Pointer[map[string]float64]

	mu sync.Mutex // serialises setTargets, as the router requires
}

func (d *dispatcher) setTargets(targets []routing.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.SetTargets(d.now(), targets)
}

// do runs a call to its end: the whole answer, or a Problem.
func (d *dispatcher) do(ctx context.Context, c *call) (*wire.ExecuteReply, *api.Problem) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	if c.repeat {
		return d.repeatable(ctx, c)
	}
	return d.onlyOnce(ctx, c)
}

// repeatable tries targets until one answers, the retry budget refuses or the
// deadline passes.
func (d *dispatcher) repeatable(ctx context.Context, c *call) (*wire.ExecuteReply, *api.Problem) {
	var tried []routing.TargetID
	maybeRan := 0
	for attempt := 0; ; attempt++ {
		ticket, refusal := d.pick(ctx, c, attempt, tried, maybeRan > 0)
		if !refusal.OK() {
			return nil, pickProblem(refusal, maybeRan > 0)
		}
		reply, err := d.attempt(ctx, ticket, c, attempt)
		if err == nil && reply.Outcome == wire.OutcomeDone {
			return reply, nil
		}
		if ran(reply, err) {
			maybeRan++
		}
		if maybeRan > c.retries || ctx.Err() != nil || !d.router.Retry(d.now(), c.account) {
			return nil, d.refusal(c, attemptProblem(reply, err, maybeRan > 0))
		}
		d.count(metrics.RequestsRetried, 1)
		tried = append(tried, ticket.Target)
	}
}

// refusal spaces the return of what was refused for good, so that callers that
// were refused together don't come back together.
func (d *dispatcher) refusal(c *call, p *api.Problem) *api.Problem {
	if p.RetryAfter > 0 {
		p.RetryAfter = max(p.RetryAfter, d.router.RetryAfter(c.account))
	}
	return p
}

// attempt makes one attempt and tells the router how it went.
func (d *dispatcher) attempt(ctx context.Context, t routing.Ticket, c *call, n int) (*wire.ExecuteReply, error) {
	began := d.now()
	msg := c.execute(c.id, n, began)
	got, err := d.agents.call(ctx, string(t.Target), msg, pathOf(n))
	reply, _ := got.(*wire.ExecuteReply)
	if err == nil && reply == nil {
		err = errBadReply
	}
	d.router.Done(d.now(), t, outcomeOf(ctx, reply, err, d.now().Sub(began)))
	return reply, err
}

// pathOf is the path for the n-th attempt of a request, from 0.
func pathOf(n int) path {
	if n == 0 {
		return anyPath
	}
	return provedPath
}

var errBadReply = &wire.CallError{Outcome: wire.ErrOutcomeUnknown, Cause: wire.ErrMalformed}

// ran says whether the attempt may have run.
func ran(reply *wire.ExecuteReply, err error) bool {
	if err != nil {
		return !errors.Is(err, wire.ErrNotHandled)
	}
	return reply.Outcome != wire.OutcomeRefused
}

// outcomeOf tells the router how an attempt ended.
func outcomeOf(ctx context.Context, reply *wire.ExecuteReply, err error, took time.Duration) routing.Outcome {
	o := routing.Outcome{Latency: took}
	if err != nil {
		o.Kind = failureKind(ctx, err)
		o.Load.Draining = errors.Is(err, wire.ErrDraining)
		return o
	}
	o.Load = routing.Load{
		Running:    reply.Load.Running,
		Queued:     reply.Load.Queued,
		Marked:     reply.Congested,
		Shedding:   reply.Reason == admission.Overload.String(),
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
