package entry

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"github.com/eelgrasshub/eelgrasshub/attempts"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// sendAttempt sends the attempt to the agent. When the caller's connection ends, a queued
// attempt is withdrawn; the agent finishes one that it has started.
func (v *delivery) sendAttempt(c attempts.Claim) {
	msg := v.request.executeMessage(c.ID.String(), v.attemptNumber, v.dispatcher.now())
	got, err := v.dispatcher.agents.call(v.ctx, c.Agent, msg, connCheckFor(v.attemptNumber))
	reply, _ := got.(*wire.ExecuteReply)
	ev := deliveryEvent{reply: reply, err: err}
	switch {
	case err != nil && errors.Is(err, wire.ErrNotHandled):
		ev.Event = attempts.BeginReply{ID: c.ID, Result: attempts.BeginRefuse}
	case err != nil || reply == nil:
		ev.Event = attempts.ConnectionLost{ID: c.ID}
	default:
		ev.Event = beginReplyEvent(c.ID, reply)
	}
	v.emit(ev)
}

func beginReplyEvent(id attempts.ID, r *wire.ExecuteReply) attempts.BeginReply {
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

// sendResolve asks the claim's agent about the state of the attempt.
func (v *delivery) sendResolve(c attempts.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(v.ctx), resolveTimeout)
	defer cancel()
	got, err := v.dispatcher.agents.call(ctx, c.Agent, &wire.ResolveAttempt{
		AttemptID:   c.ID.String(),
		Incarnation: c.ID.Incarnation,
		MaxWait:     resolveWait,
	}, verifiedConn)
	reply, ok := got.(*wire.ResolveAttemptReply)
	if err != nil || !ok {
		v.emit(deliveryEvent{unresolvedAttempt: c.ID}) // sent again after resolveInterval
		return
	}
	v.emit(deliveryEvent{Event: resolveReplyEvent(c.ID, reply)})
}

func resolveReplyEvent(id attempts.ID, r *wire.ResolveAttemptReply) attempts.ResolveReply {
	ev := attempts.ResolveReply{ID: id}
	switch {
	case r.State == wire.AttemptNotRun:
		ev.Status = attempts.StatusNotRun
	case r.State == wire.AttemptRunning:
		ev.Status = attempts.StatusRunning
	case r.State == wire.AttemptAnswered && r.Reply != nil && r.Reply.Outcome == wire.OutcomeDone:
		ev.Status = attempts.StatusAnswered
		ev.Answer = encodeReply(r.Reply)
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
		panic("entry: execute reply can't be encoded: " + err.Error())
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
