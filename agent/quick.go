package agent

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/admission"
	"github.com/eelgrasshub/eelgrasshub/attempts"
	"github.com/eelgrasshub/eelgrasshub/target"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Reasons in an ExecuteReply, besides those of admission.
const (
	reasonAttempt   = "attempt"   // the attempt was seen before, or is too old
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

	observe func(account, class string, took time.Duration, outcome wire.Outcome)
	now     func() time.Time
}

// execute runs one attempt and returns its end. ctx ends when the entry no
// longer waits.
func (q *quick) execute(ctx context.Context, m *wire.Execute) *wire.ExecuteReply {
	began := q.now()
	reply := q.attempt(ctx, m)
	reply.Load, reply.Marked, reply.Draining = q.loadOf()
	q.observe(m.Account, m.Class, q.now().Sub(began), reply.Outcome)
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
	id, err := attempts.ParseID(m.Attempt)
	if err != nil {
		return refused(reasonAttempt, err.Error(), 0)
	}
	return q.once(ctx, id, m)
}

// once runs an attempt that must not run twice. The table decides under the
// lock, so that two copies of a message can't both be fresh.
func (q *quick) once(ctx context.Context, id attempts.ID, m *wire.Execute) *wire.ExecuteReply {
	q.mu.Lock()
	verdict, answer := q.table.Begin(q.now(), id)
	if verdict == attempts.Fresh {
		q.running[id] = make(chan struct{})
	}
	done := q.running[id]
	q.mu.Unlock()

	switch verdict {
	case attempts.Fresh:
		return q.first(ctx, id, m)
	case attempts.Joined:
		return q.join(ctx, id, done)
	case attempts.Repeated:
		return decodeAnswer(answer)
	case attempts.Refused:
		return refused(reasonAttempt, "the attempt was given up before it arrived", 0)
	default:
		return unknown(reasonAttempt, "the attempt is older than what this agent remembers")
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
		q.table.Refuse(id)
	case reply.Outcome == wire.OutcomeDone:
		answer, err := cbor.Marshal(reply)
		if err != nil {
			q.table.Interrupt(id)
			return
		}
		q.table.Finish(id, answer)
	case sent:
		q.table.Interrupt(id)
	default:
		q.table.Refuse(id)
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
		return r.Answer
	case wire.AttemptNotRun:
		return refused(reasonAttempt, "the attempt was refused", 0)
	default:
		return unknown(reasonLost, "the attempt ran and its answer was lost")
	}
}

// resolve says what became of an attempt. An attempt that never arrived is
// refused from then on.
func (q *quick) resolve(id attempts.ID) *wire.ResolveReply {
	q.mu.Lock()
	status, answer := q.table.Resolve(id)
	q.mu.Unlock()
	switch status {
	case attempts.StatusNotRun:
		return &wire.ResolveReply{State: wire.AttemptNotRun}
	case attempts.StatusRunning:
		return &wire.ResolveReply{State: wire.AttemptRunning}
	case attempts.StatusAnswered:
		return &wire.ResolveReply{State: wire.AttemptAnswered, Answer: decodeAnswer(answer)}
	case attempts.StatusRan:
		lost := unknown(reasonLost, "it ran and its answer is not at hand")
		return &wire.ResolveReply{State: wire.AttemptAnswered, Answer: lost}
	default:
		return &wire.ResolveReply{State: wire.AttemptUnknown}
	}
}

// run queues the request under wait, then forwards it under ctx. sending is
// called just before the target is asked.
func (q *quick) run(wait, ctx context.Context, m *wire.Execute, sending func()) *wire.ExecuteReply {
	deadline := q.now().Add(remaining(m))
	id, refusal, err := q.gate.enter(wait, admission.Arrived{
		Account:  m.Account,
		Class:    m.Class,
		Weight:   q.weights(m.Account),
		Deadline: deadline,
		Enqueued: q.now(),
	})
	if err != nil {
		return refused(reasonCancelled, "the entry gave the attempt up while it was queued", 0)
	}
	if refusal != nil {
		return refused(refusal.Reason.String(), "", refusal.RetryAfter)
	}
	began := q.now()
	defer func() { q.gate.leave(id, q.now().Sub(began)) }()
	sending()
	return q.forward(ctx, m, deadline)
}

func (q *quick) forward(ctx context.Context, m *wire.Execute, deadline time.Time) *wire.ExecuteReply {
	answer, err := q.target.Do(ctx, target.Request{
		ID:       m.Request,
		Attempt:  m.Hops + 1,
		Account:  m.Account,
		Class:    m.Class,
		Deadline: deadline.Sub(q.now()),
		Method:   m.Method,
		Path:     m.Path,
		RawQuery: m.Query,
		Header:   headerOf(m.Header),
		Body:     m.Body,
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

func refused(reason, detail string, after time.Duration) *wire.ExecuteReply {
	return &wire.ExecuteReply{
		Outcome:    wire.OutcomeRefused,
		Reason:     reason,
		Detail:     detail,
		RetryAfter: after,
	}
}

func unknown(reason, detail string) *wire.ExecuteReply {
	return &wire.ExecuteReply{Outcome: wire.OutcomeUnknown, Reason: reason, Detail: detail}
}

func decodeAnswer(data []byte) *wire.ExecuteReply {
	var r wire.ExecuteReply
	if err := cbor.Unmarshal(data, &r); err != nil {
		panic(eris.Wrap(err, "agent: an answer of our own making can't be read"))
	}
	return &r
}

func headerOf(lines []wire.Header) http.Header {
	h := make(http.Header, len(lines))
	for _, l := range lines {
		h.Add(l.Name, l.Value)
	}
	return h
}

func wireHeader(h http.Header) []wire.Header {
	lines := make([]wire.Header, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			lines = append(lines, wire.Header{Name: name, Value: v})
		}
	}
	return lines
}

// resolveName is resolve for the text form of an attempt's id. Where the attempt
// runs, the answer is held until it ends, at most for wait: whoever asks wants
// the end, and would ask again.
func (q *quick) resolveName(ctx context.Context, name string, wait time.Duration) *wire.ResolveReply {
	id, err := attempts.ParseID(name)
	if err != nil {
		return &wire.ResolveReply{State: wire.AttemptUnknown}
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
