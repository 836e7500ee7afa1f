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

// delivery performs the actions of one attempts.Request. The goroutine of run owns it.
type delivery struct {
	dispatcher        *dispatcher
	ctx               context.Context
	request           *quickRequest
	attemptNumber     int
	stateMachine      *attempts.Request
	claimHandle       *claimHandle
	events            chan deliveryEvent
	timer             *time.Timer
	startedAt         time.Time
	attemptSent       bool
	reply             *wire.ExecuteReply // to this delivery's own attempt, if one came
	lastErr           error              // of sending the own attempt
	unresponsiveSince time.Time          // since when the agent has answered no resolve message
	agentTimedOut     bool               // it was unresponsive for unresponsiveAgentTimeout
}

// deliveryEvent is an event for the state machine, with the reply or error that the
// router needs for its statistics.
type deliveryEvent struct {
	attempts.Event
	reply *wire.ExecuteReply
	err   error
	// unresolvedAttempt is the attempt whose agent did not answer a resolve message.
	unresolvedAttempt attempts.ID
}

func (d *dispatcher) newDelivery(ctx context.Context, q *quickRequest, ticket routing.Ticket, attemptNumber int) *delivery {
	now := d.now()
	claim := attempts.Claim{
		ID:          d.attemptIssuer.newID(now, ticket.Incarnation),
		Agent:       string(ticket.Target),
		Fingerprint: fingerprint(q),
	}
	cfg := attempts.RequestConfig{
		HasKey:        q.key != "",
		FirstDelivery: q.firstDelivery,
		Deadline:      q.deadline,
		PollInterval:  resolveInterval,
		RetryAfter:    defaultRetryAfter,
		MaxAge:        attemptMaxAge,
	}
	return &delivery{
		dispatcher:    d,
		ctx:           ctx,
		request:       q,
		attemptNumber: attemptNumber,
		stateMachine:  attempts.NewRequest(cfg, claim),
		claimHandle:   d.attemptIssuer.claims.handleFor(q),
		events:        make(chan deliveryEvent, deliveryEventBuffer),
		timer:         time.NewTimer(time.Hour),
		startedAt:     now,
	}
}

// fingerprint hashes a request's content, to distinguish a retry from another request
// under the same key.
func fingerprint(q *quickRequest) uint64 {
	h := xxhash.New()
	for _, part := range []string{q.method, q.path, q.query, q.class} {
		_, _ = h.WriteString(part)
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
	}
	_, _ = h.Write(q.body)
	return h.Sum64()
}

// run drives the delivery until it is finished. It does not stop when the caller's
// connection ends: the state machine itself gives up at the deadline, and a claim release
// in progress must complete.
func (v *delivery) run() attempts.Finished {
	defer v.timer.Stop()
	actions := v.stateMachine.Step(v.dispatcher.now(), attempts.Start{})
	for {
		for _, a := range actions {
			if finished, ok := a.(attempts.Finished); ok {
				return finished
			}
			v.perform(a)
		}
		select {
		case ev := <-v.events:
			v.recordReply(ev)
			actions = v.stateMachine.Step(v.dispatcher.now(), v.checkAgentTimeout(ev))
		case <-v.timer.C:
			actions = v.stateMachine.Step(v.dispatcher.now(), attempts.Wake{})
		}
	}
}

// perform starts one action of the state machine; its result comes as an event.
func (v *delivery) perform(a attempts.Action) {
	switch a := a.(type) {
	case attempts.WriteClaim:
		go v.emitClaimResult(func(ctx context.Context) attempts.ClaimReply {
			return v.claimHandle.write(ctx, a.Claim)
		})
	case attempts.ReplaceClaim:
		go v.emitClaimResult(func(ctx context.Context) attempts.ClaimReply {
			return v.claimHandle.replace(ctx, a.Old, a.New)
		})
	case attempts.ReleaseClaim:
		go v.emitClaimResult(func(ctx context.Context) attempts.ClaimReply {
			return v.claimHandle.release(ctx, a.Claim)
		})
	case attempts.SendBegin:
		v.attemptSent = true
		go v.sendAttempt(a.Claim)
	case attempts.SendResolve:
		go v.sendResolve(a.Claim)
	case attempts.WakeAt:
		v.timer.Reset(a.At.Sub(v.dispatcher.now()))
	}
}

// emit passes an event to run. When the channel is full, run has returned and the event
// is dropped.
func (v *delivery) emit(ev deliveryEvent) {
	select {
	case v.events <- ev:
	default:
	}
}

func (v *delivery) emitClaimResult(f func(context.Context) attempts.ClaimReply) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(v.ctx), v.request.deadline)
	defer cancel()
	v.emit(deliveryEvent{Event: f(ctx)})
}

func (v *delivery) recordReply(ev deliveryEvent) {
	if ev.reply != nil {
		v.reply = ev.reply
	}
	if ev.err != nil {
		v.lastErr = ev.err
	}
}

// checkAgentTimeout returns the event for the state machine. When the agent has been
// unresponsive for unresponsiveAgentTimeout, it returns StatusUnknown, which ends the
// delivery.
func (v *delivery) checkAgentTimeout(ev deliveryEvent) attempts.Event {
	if ev.unresolvedAttempt == (attempts.ID{}) {
		v.unresponsiveSince = time.Time{}
		return ev.Event
	}
	now := v.dispatcher.now()
	if v.unresponsiveSince.IsZero() {
		v.unresponsiveSince = now
	}
	if now.Sub(v.unresponsiveSince) < unresponsiveAgentTimeout {
		return attempts.Wake{}
	}
	v.agentTimedOut = true
	return attempts.ResolveReply{ID: ev.unresolvedAttempt, Status: attempts.StatusUnknown}
}
