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
	case err != nil && errors.Is(err, wire.ErrNotHandled):
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
	case r.Reason == wire.ReasonAttempt:
		b.Verdict = attempts.Unprovable
	default:
		b.Verdict = attempts.Fresh
		b.Interrupted = true
	}
	return b
}

func (v *delivery) resolve(c attempts.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(v.ctx), resolveTimeout)
	defer cancel()
	got, err := v.d.agents.call(ctx, c.Agent, &wire.ResolveAttempt{
		AttemptID:   c.ID.String(),
		Incarnation: c.ID.Incarnation,
		MaxWait:     resolveHold,
	}, provedPath)
	reply, ok := got.(*wire.ResolveAttemptReply)
	if err != nil || !ok {
		v.emit(deliveryEvent{unresolved: c.ID}) // asked again at the next poll
		return
	}
	v.emit(deliveryEvent{Event: resolvedOf(c.ID, reply)})
}

func resolvedOf(id attempts.ID, r *wire.ResolveAttemptReply) attempts.Resolved {
	ev := attempts.Resolved{ID: id}
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
