package entry

import (
	"context"
	"encoding/binary"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

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
		ticket, refusal := d.router.Pick(d.now(), c.pick(n, tried))
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
	return ctx.Err() == nil && d.router.Retry(d.now(), c.account)
}

// delivery drives one attempts.Request. Its run method's goroutine owns it.
type delivery struct {
	d       *dispatcher
	ctx     context.Context
	call    *call
	hop     int
	req     *attempts.Request
	claim   *claimKey
	events  chan deliveryEvent
	timer   *time.Timer
	began   time.Time
	sent    bool
	reply   *wire.ExecuteReply // of the own attempt, if one came
	lastErr error              // of sending it
	mute    time.Time          // since when the agent answers no question
	gaveUp  bool               // because it did so for resolvePatience
}

// deliveryEvent is an event for the Request, with what the router wants to know
// of the attempt.
type deliveryEvent struct {
	attempts.Event
	reply *wire.ExecuteReply
	err   error
	// unresolved is the attempt of which the agent could not be asked.
	unresolved attempts.ID
}

func (d *dispatcher) newDelivery(ctx context.Context, c *call, t routing.Ticket, hop int) *delivery {
	now := d.now()
	own := attempts.Claim{
		ID:          d.once.newID(now, t.Incarnation),
		Agent:       string(t.Target),
		Fingerprint: fingerprint(c),
	}
	cfg := attempts.RequestConfig{
		Keyed:      c.key != "",
		First:      c.first,
		Deadline:   c.deadline,
		Poll:       resolvePoll,
		RetryAfter: comeBack,
		MaxAge:     attemptMaxAge,
	}
	return &delivery{
		d:      d,
		ctx:    ctx,
		call:   c,
		hop:    hop,
		req:    attempts.NewRequest(cfg, own),
		claim:  d.once.claims.key(c),
		events: make(chan deliveryEvent, onceEvents),
		timer:  time.NewTimer(time.Hour),
		began:  now,
	}
}

// fingerprint tells a retry from another request under the same key.
func fingerprint(c *call) uint64 {
	h := xxhash.New()
	for _, part := range []string{c.method, c.path, c.query, c.class} {
		_, _ = h.WriteString(part)
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
	}
	_, _ = h.Write(c.body)
	return h.Sum64()
}

// run takes the delivery to its end. It does not end with the caller's
// connection: the machine itself gives up at the deadline, and a claim that is
// being released must be released.
func (v *delivery) run() attempts.Finished {
	defer v.timer.Stop()
	actions := v.req.Step(v.d.now(), attempts.Go{})
	for {
		for _, a := range actions {
			if end, ok := a.(attempts.Finished); ok {
				return end
			}
			v.do(a)
		}
		select {
		case ev := <-v.events:
			v.note(ev)
			actions = v.req.Step(v.d.now(), v.patience(ev))
		case <-v.timer.C:
			actions = v.req.Step(v.d.now(), attempts.Wake{})
		}
	}
}

func (v *delivery) do(a attempts.Action) {
	switch a := a.(type) {
	case attempts.WriteClaim:
		go v.emitClaim(func(ctx context.Context) attempts.Claimed {
			return v.claim.write(ctx, a.Claim)
		})
	case attempts.ReplaceClaim:
		go v.emitClaim(func(ctx context.Context) attempts.Claimed {
			return v.claim.replace(ctx, a.Old, a.New)
		})
	case attempts.ReleaseClaim:
		go v.emitClaim(func(ctx context.Context) attempts.Claimed {
			return v.claim.release(ctx, a.Claim)
		})
	case attempts.SendBegin:
		v.sent = true
		go v.begin(a.Claim)
	case attempts.SendResolve:
		go v.resolve(a.Claim)
	case attempts.WakeAt:
		v.timer.Reset(a.At.Sub(v.d.now()))
	}
}

// emit hands an event to the loop; when the loop has ended and the channel is
// full, nobody wants it.
func (v *delivery) emit(ev deliveryEvent) {
	select {
	case v.events <- ev:
	default:
	}
}

func (v *delivery) emitClaim(f func(context.Context) attempts.Claimed) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(v.ctx), v.call.deadline)
	defer cancel()
	v.emit(deliveryEvent{Event: f(ctx)})
}

func (v *delivery) note(ev deliveryEvent) {
	if ev.reply != nil {
		v.reply = ev.reply
	}
	if ev.err != nil {
		v.lastErr = ev.err
	}
}

// patience turns a question that could not be asked into the end of the
// delivery, once that has lasted too long.
func (v *delivery) patience(ev deliveryEvent) attempts.Event {
	if ev.unresolved == (attempts.ID{}) {
		v.mute = time.Time{}
		return ev.Event
	}
	now := v.d.now()
	if v.mute.IsZero() {
		v.mute = now
	}
	if now.Sub(v.mute) < resolvePatience {
		return attempts.Wake{}
	}
	v.gaveUp = true
	return attempts.Resolved{ID: ev.unresolved, Status: attempts.StatusUnknown}
}

// begin sends the attempt. The end of the caller's connection withdraws it
// where it is still queued; the agent runs on what it has started.
func (v *delivery) begin(c attempts.Claim) {
	msg := v.call.execute(c.ID.String(), v.hop, v.d.now())
	got, err := v.d.agents.call(v.ctx, c.Agent, msg, pathOf(v.hop))
	reply, _ := got.(*wire.ExecuteReply)
	ev := deliveryEvent{reply: reply, err: err}
	switch {
	case err != nil && errors.Is(err, wire.ErrNotSent):
		ev.Event = attempts.Begun{ID: c.ID, Verdict: attempts.Refused}
	case err != nil || reply == nil:
		ev.Event = attempts.ConnectionLost{ID: c.ID}
	default:
		ev.Event = begunOf(c.ID, reply)
	}
	v.emit(ev)
}

func begunOf(id attempts.ID, r *wire.ExecuteReply) attempts.Begun {
	b := attempts.Begun{ID: id}
	switch {
	case r.Outcome == wire.OutcomeDone:
		b.Verdict = attempts.Fresh
		b.Answer = encodeReply(r)
	case r.Outcome == wire.OutcomeRefused:
		b.Verdict = attempts.Refused
	case r.Reason == attemptReason:
		b.Verdict = attempts.Unprovable
	default:
		b.Verdict = attempts.Fresh
		b.Interrupted = true
	}
	return b
}

// attemptReason is the agent's reason where its table decided.
const attemptReason = "attempt"

func (v *delivery) resolve(c attempts.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(v.ctx), resolveTimeout)
	defer cancel()
	got, err := v.d.agents.call(ctx, c.Agent, &wire.Resolve{
		Attempt:     c.ID.String(),
		Incarnation: c.ID.Incarnation,
		Wait:        resolveHold,
	}, provedPath)
	reply, ok := got.(*wire.ResolveReply)
	if err != nil || !ok {
		v.emit(deliveryEvent{unresolved: c.ID}) // asked again at the next poll
		return
	}
	v.emit(deliveryEvent{Event: resolvedOf(c.ID, reply)})
}

func resolvedOf(id attempts.ID, r *wire.ResolveReply) attempts.Resolved {
	ev := attempts.Resolved{ID: id}
	switch {
	case r.State == wire.AttemptNotRun:
		ev.Status = attempts.StatusNotRun
	case r.State == wire.AttemptRunning:
		ev.Status = attempts.StatusRunning
	case r.State == wire.AttemptAnswered && r.Answer != nil && r.Answer.Outcome == wire.OutcomeDone:
		ev.Status = attempts.StatusAnswered
		ev.Answer = encodeReply(r.Answer)
	case r.State == wire.AttemptAnswered:
		ev.Status = attempts.StatusRan
	default:
		ev.Status = attempts.StatusUnknown
	}
	return ev
}

func encodeReply(r *wire.ExecuteReply) []byte {
	data, err := cbor.Marshal(r)
	if err != nil {
		panic("entry: a reply that was decoded can't be encoded: " + err.Error())
	}
	return data
}

func decodeReply(data []byte) *wire.ExecuteReply {
	var r wire.ExecuteReply
	if err := cbor.Unmarshal(data, &r); err != nil {
		return &wire.ExecuteReply{Outcome: wire.OutcomeUnknown, Detail: err.Error()}
	}
	return &r
}
