package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/wire"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Submit makes a job durable, through a peer where the store does not serve this
// gateway.
func (g *Gateway) Submit(ctx context.Context, job *workload.Job) link.Outcome {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	start := time.Now()
	outcome := link.OutcomeNotDone
	if g.shouldTryStore() {
		var revision store.Revision
		outcome, revision = g.jobStore.Submit(ctx, job)
		g.notifyJobSubmitted(outcome, job, revision)
		g.recordStoreOutcome(outcome)
	}
	if outcome == link.OutcomeNotDone {
		outcome = g.relay(ctx, &link.Accept{Job: *job})
	}
	g.countSubmit(outcome)
	g.callLatencies.Observe("submit/"+outcome.String(), time.Since(start))
	return outcome
}

func (g *Gateway) countSubmit(outcome link.Outcome) {
	switch outcome {
	case link.OutcomeStored:
		g.counters.Accepted.Add(1)
	case link.OutcomeUnknown:
		g.counters.AcceptUnknown.Add(1)
	default:
		g.counters.Refused.Add(1)
	}
}

// Cancel makes a cancellation durable.
func (g *Gateway) Cancel(ctx context.Context, queue string, id workload.JobID) link.Outcome {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	start := time.Now()
	outcome := link.OutcomeNotDone
	if g.shouldTryStore() {
		outcome = g.jobStore.Cancel(ctx, queue, id)
		if outcome == link.OutcomeStored {
			g.notifyPlanner(&link.Notice{Cancel: id})
		}
		g.recordStoreOutcome(outcome)
	}
	if outcome == link.OutcomeNotDone {
		outcome = g.relay(ctx, &link.Cancel{Job: id, Queue: queue})
	}
	if outcome == link.OutcomeStored {
		g.counters.Cancelled.Add(1)
	}
	g.callLatencies.Observe("cancel/"+outcome.String(), time.Since(start))
	return outcome
}

// shouldTryStore says whether the store is worth a try: after it failed not before it has
// answered another call. The configuration is asked for all the time, so a try here would
// find nothing out that is not known sooner, and hold its caller up.
func (g *Gateway) shouldTryStore() bool {
	failedAt := time.Duration(g.storeFailedAt.Load())
	sinceFailure := lease.BootTime() - failedAt
	return failedAt == 0 || sinceFailure > storeRetryAfter || g.cfg.SinceStoreReply() < sinceFailure
}

// markStoreFailed notes that the store does not serve this gateway now.
func (g *Gateway) markStoreFailed() { g.storeFailedAt.Store(int64(lease.BootTime())) }

func (g *Gateway) recordStoreOutcome(outcome link.Outcome) {
	switch outcome {
	case link.OutcomeNotDone, link.OutcomeUnknown:
		g.markStoreFailed()
	default:
		g.storeFailedAt.Store(0)
	}
}

// relay lets peers write a record, one after the other, until one is served by the
// store. A peer whose answer is lost may have written it.
func (g *Gateway) relay(ctx context.Context, msg any) link.Outcome {
	for _, address := range g.relayCandidates() {
		if ctx.Err() != nil {
			return link.OutcomeNotDone
		}
		outcome := g.relayTo(ctx, address, msg)
		if outcome != link.OutcomeNotDone {
			return outcome
		}
	}
	return link.OutcomeNotDone
}

// relayCandidates returns the peers to work through, the planner first. Those that lately said
// that the store does not serve them either are left out: asking them would only hold up
// a refusal that is certain, and a question cut short leaves the outcome unknown.
func (g *Gateway) relayCandidates() []string {
	_, planner := g.planner.get()
	candidates := g.members.knownPeers()
	if planner != "" && planner != g.cfg.Listen {
		candidates = append([]string{planner}, candidates...)
	}
	now := lease.BootTime()
	var out []string
	for _, address := range candidates {
		if !slices.Contains(out, address) && !g.storeStatus.peerUnserved(now, address) {
			out = append(out, address)
		}
	}
	return out
}

// callPeer lets one peer make a call for this gateway. The error is wire.ErrNotSent where
// the peer has certainly not seen it.
func (g *Gateway) callPeer(ctx context.Context, address string, msg any) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(ctx, peerTimeout)
	defer cancelDial()
	conn, err := g.pool.Conn(dialCtx, address)
	if err != nil {
		return nil, wire.ErrNotSent
	}
	g.counters.Relayed.Add(1)
	return conn.Call(ctx, msg)
}

func (g *Gateway) relayTo(ctx context.Context, address string, msg any) link.Outcome {
	raw, err := g.callPeer(ctx, address, msg)
	if err != nil {
		return outcomeOfCallError(err)
	}
	reply, ok := raw.(*link.RecordReply)
	if !ok {
		return link.OutcomeUnknown
	}
	return reply.Outcome
}
