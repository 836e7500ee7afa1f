package agent

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/eelgrasshub/eelgrasshub/attempts"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// once runs an attempt that must not run twice. The table decides under the
// lock, so that two copies of a message can't both be fresh.
func (q *quick) once(ctx context.Context, id attempts.ID, m *wire.Execute) *wire.ExecuteReply {
	q.mu.Lock()
	verdict, answer := q.table.Begin(q.now(), id)
	if verdict == attempts.BeginRun {
		q.running[id] = make(chan struct{})
	}
	done := q.running[id]
	q.mu.Unlock()

	switch verdict {
	case attempts.BeginRun:
		return q.first(ctx, id, m)
	case attempts.BeginJoin:
		return q.join(ctx, id, done)
	case attempts.BeginReplay:
		return decodeAnswer(answer)
	case attempts.BeginRefuse:
		return refused(wire.ReasonAttempt, "the attempt was given up before it arrived", 0)
	default:
		return unknown(wire.ReasonAttempt, "the attempt is older than what this agent remembers")
	}
}

// first runs a fresh attempt and notes its end in the table before it replies.
func (q *quick) first(ctx context.Context, id attempts.ID, m *wire.Execute) *wire.ExecuteReply {
	// Once the target has been asked, the end of the entry's connection must not
	// end the exchange: the request runs on, and the retry wants its answer.
	run, cancel := context.WithTimeout(context.WithoutCancel(ctx), remaining(m)+finishGrace)
	defer cancel()
	sent := false
	reply := q.run(ctx, run, m, func() { sent = true })

	q.mu.Lock()
	defer q.mu.Unlock()
	q.note(id, sent, reply)
	close(q.running[id])
	delete(q.running, id)
	return reply
}

func (q *quick) note(id attempts.ID, sent bool, reply *wire.ExecuteReply) {
	switch {
	case reply.Outcome == wire.OutcomeRefused:
		q.table.RecordNotRun(id)
	case reply.Outcome == wire.OutcomeDone:
		answer, err := cbor.Marshal(reply)
		if err != nil {
			q.table.RecordLostAnswer(id)
			return
		}
		q.table.RecordAnswer(id, answer)
	case sent:
		q.table.RecordLostAnswer(id)
	default:
		q.table.RecordNotRun(id)
	}
}

// join waits for the end of the same attempt, begun by an earlier copy of the
// message.
func (q *quick) join(ctx context.Context, id attempts.ID, done <-chan struct{}) *wire.ExecuteReply {
	if done != nil {
		select {
		case <-done:
		case <-ctx.Done():
			return unknown(reasonLost, "the attempt still runs")
		}
	}
	r := q.resolve(id)
	switch r.State {
	case wire.AttemptAnswered:
		return r.Reply
	case wire.AttemptNotRun:
		return refused(wire.ReasonAttempt, "the attempt was refused", 0)
	default:
		return unknown(reasonLost, "the attempt ran and its answer was lost")
	}
}

// resolve says what became of an attempt. An attempt that never arrived is
// refused from then on.
func (q *quick) resolve(id attempts.ID) *wire.ResolveAttemptReply {
	q.mu.Lock()
	status, answer := q.table.Resolve(id)
	q.mu.Unlock()
	switch status {
	case attempts.StatusNotRun:
		return &wire.ResolveAttemptReply{State: wire.AttemptNotRun}
	case attempts.StatusRunning:
		return &wire.ResolveAttemptReply{State: wire.AttemptRunning}
	case attempts.StatusAnswered:
		return &wire.ResolveAttemptReply{State: wire.AttemptAnswered, Reply: decodeAnswer(answer)}
	case attempts.StatusRan:
		lost := unknown(reasonLost, "it ran and its answer is not at hand")
		return &wire.ResolveAttemptReply{State: wire.AttemptAnswered, Reply: lost}
	default:
		return &wire.ResolveAttemptReply{State: wire.AttemptUnknown}
	}
}

// resolveName is resolve for the text form of an attempt's id. Where the attempt
// runs, the answer is held until it ends, at most for wait: whoever asks wants
// the end, and would ask again.
func (q *quick) resolveName(ctx context.Context, name string, wait time.Duration) *wire.ResolveAttemptReply {
	id, err := attempts.ParseID(name)
	if err != nil {
		return &wire.ResolveAttemptReply{State: wire.AttemptUnknown}
	}
	q.awaitArrival(ctx, id, min(wait, arrivalWait))
	q.mu.Lock()
	done := q.running[id]
	q.mu.Unlock()
	if done != nil {
		awaitEnd(ctx, done, wait)
	}
	return q.resolve(id)
}

// awaitArrival gives an attempt that is on its way the time to arrive. Without
// it, two deliveries of one request through two entries at once forbid each
// other's attempt: the question about the first overtakes the first, and both
// callers hear that nothing ran.
func (q *quick) awaitArrival(ctx context.Context, id attempts.ID, wait time.Duration) {
	for until := q.now().Add(wait); !q.known(id) && q.now().Before(until); {
		select {
		case <-time.After(arrivalPoll):
		case <-ctx.Done():
			return
		}
	}
}

func (q *quick) known(id attempts.ID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Known(id)
}

func awaitEnd(ctx context.Context, done <-chan struct{}, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// remembered returns how many attempts the table holds.
func (q *quick) remembered() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Len()
}
