package entry

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"github.com/eelgrasshub/eelgrasshub/attempts"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// begin sends the attempt. The end of the caller's connection withdraws it
// where it is still queued; the agent runs on what it has started.
func (v *delivery) begin(c attempts.Claim) {
	msg := v.call.execute(c.ID.String(), v.hop, v.d.now())
	got, err := v.d.agents.call(v.ctx, c.Agent, msg, pathOf(v.hop))
	reply, _ := got.(*wire.ExecuteReply)
	ev := deliveryEvent{reply: reply, err: err}
	switch {
	case err != nil && errors.Is(err, wire.ErrNotSent):
		ev.Event = attempts.BeginReply{ID: c.ID, Result: attempts.BeginRefuse}
	case err != nil || reply == nil:
		ev.Event = attempts.ConnectionLost{ID: c.ID}
	default:
		ev.Event = begunOf(c.ID, reply)
	}
	v.emit(ev)
}

func begunOf(id attempts.ID, r *wire.ExecuteReply) attempts.BeginReply {
	b := attempts.BeginReply{ID: id}
	switch {
	case r.Outcome == wire.OutcomeDone:
		b.Result = attempts.BeginRun
		b.Answer = encodeReply(r)
	case r.Outcome == wire.OutcomeRefused:
		b.Result = attempts.BeginRefuse
	case r.Reason == wire.ReasonAttempt:
		b.Result = attempts.BeginUnknown
	default:
		b.Result = attempts.BeginRun
		b.Interrupted = true
	}
	return b
}

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

func resolvedOf(id attempts.ID, r *wire.ResolveReply) attempts.ResolveReply {
	ev := attempts.ResolveReply{ID: id}
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
