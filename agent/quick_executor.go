package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/admission"
	"github.com/eelgrasshub/eelgrasshub/attempts"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/target"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Reasons in an ExecuteReply, besides those of admission.
const (
	reasonTarget    = "target"    // the target could not be reached or refused
	reasonCancelled = "cancelled" // the caller gave up before the start
	reasonLost      = "lost"      // the target's answer did not come back whole
)

// finishGrace is how much longer than its deadline a request that is not
// repeatable may take at the target. It goes on using its slot there anyway,
// and its answer is wanted by a retry under the same key.
const finishGrace = 30 * time.Second

// arrivalWait is how long a question about an attempt waits for it to arrive,
// arrivalPoll how often it looks.
const (
	arrivalWait = 50 * time.Millisecond
	arrivalPoll = 2 * time.Millisecond
)

// noDeadline bounds a request that came without a deadline.
const noDeadline = 10 * time.Minute

// quick runs quick requests on the target. It is safe for concurrent use.
type quick struct {
	gate    *gate
	target  *target.Client
	weights func(account string) int

	mu      sync.Mutex // guards table and running
	table   *attempts.Table
	running map[attempts.ID]chan struct{}

	observe func(account, class string, t metrics.Timing, took time.Duration)
	now     func() time.Time
}

// execute runs one attempt and returns its end. ctx ends when the entry no
// longer waits.
func (q *quick) execute(ctx context.Context, m *wire.Execute) *wire.ExecuteReply {
	began := q.now()
	reply := q.attempt(ctx, m)
	reply.Load, reply.Congested, reply.Draining = q.loadOf()
	q.observe(m.Account, m.Class, quickTiming(reply.Outcome), q.now().Sub(began))
	return reply
}

func (q *quick) loadOf() (wire.Load, bool, bool) {
	l := q.gate.load()
	return wire.Load{Running: l.Running, Queued: l.Queued}, l.Marked, l.Draining
}

func (q *quick) attempt(ctx context.Context, m *wire.Execute) *wire.ExecuteReply {
	if m.Repeatable {
		ctx, cancel := context.WithTimeout(ctx, remaining(m))
		defer cancel()
		return q.run(ctx, ctx, m, func() {})
	}
	id, err := attempts.ParseID(m.AttemptID)
	if err != nil {
		return refused(wire.ReasonAttempt, err.Error(), 0)
	}
	return q.once(ctx, id, m)
}

// run queues the request under wait, then forwards it under ctx. sending is
// called just before the target is asked.
func (q *quick) run(wait, ctx context.Context, m *wire.Execute, sending func()) *wire.ExecuteReply {
	arrived := q.now()
	deadline := arrived.Add(remaining(m))
	id, refusal, err := q.gate.enter(wait, admission.Arrived{
		Account:  m.Account,
		Class:    m.Class,
		Weight:   q.weights(m.Account),
		Deadline: deadline,
		Enqueued: arrived,
	})
	if err != nil {
		return refused(reasonCancelled, "the entry gave the attempt up while it was queued", 0)
	}
	if refusal != nil {
		return refused(refusal.Reason.String(), "", refusal.RetryAfter)
	}
	began := q.now()
	q.observe(m.Account, m.Class, metrics.QuickQueueTime, began.Sub(arrived))
	defer func() {
		took := q.now().Sub(began)
		q.gate.leave(id, took)
		q.observe(m.Account, m.Class, metrics.QuickServiceTime, took)
	}()
	sending()
	return q.forward(ctx, m, deadline)
}

func (q *quick) forward(ctx context.Context, m *wire.Execute, deadline time.Time) *wire.ExecuteReply {
	answer, err := q.target.Do(ctx, target.Request{
		RequestID: m.RequestID,
		Attempt:   m.Hops + 1,
		Account:   m.Account,
		Class:     m.Class,
		Remaining: deadline.Sub(q.now()),
		Method:    m.Method,
		Path:      m.Path,
		RawQuery:  m.Query,
		Header:    headerOf(m.Header),
		Body:      m.Body,
	})
	switch {
	case err == nil:
		return &wire.ExecuteReply{
			Outcome: wire.OutcomeDone,
			Status:  answer.Status,
			Header:  wireHeader(answer.Header),
			Body:    answer.Body,
		}
	case errors.Is(err, target.ErrNotSent), errors.Is(err, target.ErrRefused):
		return refused(reasonTarget, err.Error(), 0)
	default:
		return unknown(reasonLost, err.Error())
	}
}

func remaining(m *wire.Execute) time.Duration {
	if m.Remaining <= 0 {
		return noDeadline
	}
	return m.Remaining
}
