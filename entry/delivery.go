package entry

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshub/eelgrasshub/attempts"
	"github.com/eelgrasshub/eelgrasshub/routing"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

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
		HasKey:        c.key != "",
		FirstDelivery: c.first,
		Deadline:      c.deadline,
		PollInterval:  resolvePoll,
		RetryAfter:    comeBack,
		MaxAge:        attemptMaxAge,
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
	actions := v.req.HandleEvent(v.d.now(), attempts.Start{})
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
			actions = v.req.HandleEvent(v.d.now(), v.patience(ev))
		case <-v.timer.C:
			actions = v.req.HandleEvent(v.d.now(), attempts.Wake{})
		}
	}
}

func (v *delivery) do(a attempts.Action) {
	switch a := a.(type) {
	case attempts.WriteClaim:
		go v.emitClaim(func(ctx context.Context) attempts.ClaimReply {
			return v.claim.write(ctx, a.Claim)
		})
	case attempts.ReplaceClaim:
		go v.emitClaim(func(ctx context.Context) attempts.ClaimReply {
			return v.claim.replace(ctx, a.Old, a.New)
		})
	case attempts.ReleaseClaim:
		go v.emitClaim(func(ctx context.Context) attempts.ClaimReply {
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

func (v *delivery) emitClaim(f func(context.Context) attempts.ClaimReply) {
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
	return attempts.ResolveReply{ID: ev.unresolved, Status: attempts.StatusUnknown}
}
