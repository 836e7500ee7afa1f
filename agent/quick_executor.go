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

// Reasons in an ExecuteReply, in addition to those of package admission.
const (
	reasonTargetUnavailable = "target"    // the target could not be reached, or refused the request
	reasonCancelled         = "cancelled" // the entry stopped waiting before the request ran
	reasonAnswerLost        = "lost"      // the request may have run, but its answer was not received in full
)

// atMostOnceGrace is how long after its deadline an at-most-once request may still run at
// the target. It occupies its slot there anyway, and a retry under the same idempotency
// key needs its answer.
const atMostOnceGrace = 30 * time.Second

// arrivalWait is the longest wait for an attempt to arrive before it is resolved,
// arrivalPollInterval the interval of the checks.
const (
	arrivalWait         = 50 * time.Millisecond
	arrivalPollInterval = 2 * time.Millisecond
)

// defaultRequestTimeout applies to requests without a deadline.
const defaultRequestTimeout = 10 * time.Minute

// quickExecutor runs quick requests at the target. It is safe for concurrent use.
type quickExecutor struct {
	gate          *admissionGate
	targetClient  *target.Client
	accountWeight func(account string) int

	mu              sync.Mutex // guards attempts and runningAttempts
	attempts        *attempts.Table
	runningAttempts map[attempts.ID]chan struct{}

	observeDuration func(account, class string, t metrics.Timing, duration time.Duration)
	now             func() time.Time
}

// execute runs one attempt and returns its outcome and the agent's load. ctx ends when
// the entry no longer waits for the reply.
func (q *quickExecutor) execute(ctx context.Context, m *wire.Execute) *wire.ExecuteReply {
	start := q.now()
	reply := q.dispatch(ctx, m)
	reply.Load, reply.Congested, reply.Draining = q.load()
	q.observeDuration(m.Account, m.Class, outcomeTiming(reply.Outcome), q.now().Sub(start))
	return reply
}

func (q *quickExecutor) load() (wire.Load, bool, bool) {
	l := q.gate.load()
	return wire.Load{Running: l.Running, Queued: l.Queued}, l.Marked, l.Draining
}

func (q *quickExecutor) dispatch(ctx context.Context, m *wire.Execute) *wire.ExecuteReply {
	if m.Repeatable {
		ctx, cancel := context.WithTimeout(ctx, remainingTime(m))
		defer cancel()
		return q.queueAndForward(ctx, ctx, m, func() {})
	}
	id, err := attempts.ParseID(m.AttemptID)
	if err != nil {
		return refusedReply(wire.ReasonAttempt, err.Error(), 0)
	}
	return q.executeOnce(ctx, id, m)
}

// queueAndForward queues the request under queueCtx, then forwards it to the target under
// forwardCtx. It calls beforeSend just before the request is sent.
func (q *quickExecutor) queueAndForward(queueCtx, forwardCtx context.Context, m *wire.Execute, beforeSend func()) *wire.ExecuteReply {
	arrived := q.now()
	deadline := arrived.Add(remainingTime(m))
	id, refusal, err := q.gate.acquireSlot(queueCtx, admission.Arrived{
		Account:  m.Account,
		Class:    m.Class,
		Weight:   q.accountWeight(m.Account),
		Deadline: deadline,
		Enqueued: arrived,
	})
	if err != nil {
		return refusedReply(reasonCancelled, "the entry gave the attempt up while it was queued", 0)
	}
	if refusal != nil {
		return refusedReply(refusal.Reason.String(), "", refusal.RetryAfter)
	}
	started := q.now()
	q.observeDuration(m.Account, m.Class, metrics.QuickQueueTime, started.Sub(arrived))
	defer func() {
		slotTime := q.now().Sub(started)
		q.gate.releaseSlot(id, slotTime)
		q.observeDuration(m.Account, m.Class, metrics.QuickServiceTime, slotTime)
	}()
	beforeSend()
	return q.forward(forwardCtx, m, deadline)
}

func (q *quickExecutor) forward(ctx context.Context, m *wire.Execute, deadline time.Time) *wire.ExecuteReply {
	response, err := q.targetClient.Do(ctx, target.Request{
		RequestID: m.RequestID,
		Attempt:   m.Hops + 1,
		Account:   m.Account,
		Class:     m.Class,
		Remaining: deadline.Sub(q.now()),
		Method:    m.Method,
		Path:      m.Path,
		RawQuery:  m.Query,
		Header:    toHTTPHeader(m.Header),
		Body:      m.Body,
	})
	switch {
	case err == nil:
		return &wire.ExecuteReply{
			Outcome: wire.OutcomeDone,
			Status:  response.Status,
			Header:  toWireHeader(response.Header),
			Body:    response.Body,
		}
	case errors.Is(err, target.ErrNotSent), errors.Is(err, target.ErrRefused):
		return refusedReply(reasonTargetUnavailable, err.Error(), 0)
	default:
		return unknownReply(reasonAnswerLost, err.Error())
	}
}

func remainingTime(m *wire.Execute) time.Duration {
	if m.Remaining <= 0 {
		return defaultRequestTimeout
	}
	return m.Remaining
}
