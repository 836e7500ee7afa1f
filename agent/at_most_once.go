package agent

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/eelgrasshub/eelgrasshub/attempts"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// executeOnce runs an attempt that must not run twice. The attempt begins under the lock,
// so that of two copies of a message only one runs.
func (q *quickExecutor) executeOnce(ctx context.Context, id attempts.ID, m *wire.Execute) *wire.ExecuteReply {
	q.mu.Lock()
	result, answer := q.attempts.Begin(q.now(), id)
	if result == attempts.BeginRun {
		q.runningAttempts[id] = make(chan struct{})
	}
	done := q.runningAttempts[id]
	q.mu.Unlock()

	switch result {
	case attempts.BeginRun:
		return q.runFirst(ctx, id, m)
	case attempts.BeginJoin:
		return q.joinRunning(ctx, id, done)
	case attempts.BeginReplay:
		return decodeReply(answer)
	case attempts.BeginRefuse:
		return refusedReply(wire.ReasonAttempt, "the attempt was given up before it arrived", 0)
	default:
		return unknownReply(wire.ReasonAttempt, "the attempt is older than what this agent remembers")
	}
}

// runFirst runs an attempt that has not run and records its outcome before it replies.
func (q *quickExecutor) runFirst(ctx context.Context, id attempts.ID, m *wire.Execute) *wire.ExecuteReply {
	// Once the request was sent, a lost connection to the entry must not cancel it:
	// it runs on at the target, and a retry needs the answer.
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), remainingTime(m)+atMostOnceGrace)
	defer cancel()
	sent := false
	reply := q.queueAndForward(ctx, runCtx, m, func() { sent = true })

	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordOutcome(id, sent, reply)
	close(q.runningAttempts[id])
	delete(q.runningAttempts, id)
	return reply
}

func (q *quickExecutor) recordOutcome(id attempts.ID, sent bool, reply *wire.ExecuteReply) {
	switch {
	case reply.Outcome == wire.OutcomeRefused:
		q.attempts.RecordNotRun(id)
	case reply.Outcome == wire.OutcomeDone:
		answer, err := cbor.Marshal(reply)
		if err != nil {
			q.attempts.RecordLostAnswer(id)
			return
		}
		q.attempts.RecordAnswer(id, answer)
	case sent:
		q.attempts.RecordLostAnswer(id)
	default:
		q.attempts.RecordNotRun(id)
	}
}

// joinRunning waits for the end of an attempt that an earlier copy of the message
// started.
func (q *quickExecutor) joinRunning(ctx context.Context, id attempts.ID, done <-chan struct{}) *wire.ExecuteReply {
	if done != nil {
		select {
		case <-done:
		case <-ctx.Done():
			return unknownReply(reasonAnswerLost, "the attempt still runs")
		}
	}
	resolved := q.resolve(id)
	switch resolved.State {
	case wire.AttemptAnswered:
		return resolved.Reply
	case wire.AttemptNotRun:
		return refusedReply(wire.ReasonAttempt, "the attempt was refused", 0)
	default:
		return unknownReply(reasonAnswerLost, "the attempt ran and its answer was lost")
	}
}

// resolve returns the state of an attempt. An attempt that has not arrived is recorded
// as not run, and is refused if it arrives later.
func (q *quickExecutor) resolve(id attempts.ID) *wire.ResolveAttemptReply {
	q.mu.Lock()
	status, answer := q.attempts.Resolve(id)
	q.mu.Unlock()
	switch status {
	case attempts.StatusNotRun:
		return &wire.ResolveAttemptReply{State: wire.AttemptNotRun}
	case attempts.StatusRunning:
		return &wire.ResolveAttemptReply{State: wire.AttemptRunning}
	case attempts.StatusAnswered:
		return &wire.ResolveAttemptReply{State: wire.AttemptAnswered, Reply: decodeReply(answer)}
	case attempts.StatusRan:
		lost := unknownReply(reasonAnswerLost, "it ran and its answer is not at hand")
		return &wire.ResolveAttemptReply{State: wire.AttemptAnswered, Reply: lost}
	default:
		return &wire.ResolveAttemptReply{State: wire.AttemptUnknown}
	}
}

// resolveAndWait resolves the attempt with the given text form of its ID. It first waits
// up to wait for a running attempt to end, so that the caller need not poll often.
func (q *quickExecutor) resolveAndWait(ctx context.Context, idText string, wait time.Duration) *wire.ResolveAttemptReply {
	id, err := attempts.ParseID(idText)
	if err != nil {
		return &wire.ResolveAttemptReply{State: wire.AttemptUnknown}
	}
	q.waitForArrival(ctx, id, min(wait, arrivalWait))
	q.mu.Lock()
	done := q.runningAttempts[id]
	q.mu.Unlock()
	if done != nil {
		waitForEnd(ctx, done, wait)
	}
	return q.resolve(id)
}

// waitForArrival gives an attempt time to arrive before it is resolved. Otherwise, when
// two entries deliver one request at the same time, each may resolve the other's attempt
// before it arrives, and neither runs.
func (q *quickExecutor) waitForArrival(ctx context.Context, id attempts.ID, wait time.Duration) {
	for deadline := q.now().Add(wait); !q.isKnown(id) && q.now().Before(deadline); {
		select {
		case <-time.After(arrivalPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (q *quickExecutor) isKnown(id attempts.ID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.attempts.Known(id)
}

func waitForEnd(ctx context.Context, done <-chan struct{}, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// attemptCount returns the number of recorded attempts.
func (q *quickExecutor) attemptCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.attempts.Len()
}
