package gateway

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/wire"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Submit stores a job durably, through a peer if the store does not serve this gateway.
// OutcomeUnknown means that the job may or may not have been stored.
func (g *Gateway) Submit(ctx context.Context, job *workload.Job) link.WriteOutcome {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	start := time.Now()
	outcome := link.OutcomeNotStored
	if g.shouldTryStore() {
		var revision store.Revision
		outcome, revision = g.jobStore.Submit(ctx, job)
		g.notifyJobSubmitted(outcome, job, revision)
		g.recordStoreOutcome(outcome)
	}
	if outcome == link.OutcomeNotStored {
		outcome = g.relay(ctx, &link.WriteJob{Job: *job})
	}
	g.countSubmit(outcome)
	g.callLatencies.Observe("submit/"+outcome.String(), time.Since(start))
	return outcome
}

func (g *Gateway) countSubmit(outcome link.WriteOutcome) {
	switch outcome {
	case link.OutcomeStored:
		g.counters.Accepted.Add(1)
	case link.OutcomeUnknown:
		g.counters.AcceptUnknown.Add(1)
	default:
		g.counters.Refused.Add(1)
	}
}

// Cancel stores a cancellation durably, through a peer if the store does not serve this
// gateway.
func (g *Gateway) Cancel(ctx context.Context, queue string, id workload.JobID) link.WriteOutcome {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	start := time.Now()
	outcome := link.OutcomeNotStored
	if g.shouldTryStore() {
		outcome = g.jobStore.Cancel(ctx, queue, id)
		if outcome == link.OutcomeStored {
			g.notifyPlanner(&link.RecordNotice{Cancel: id})
		}
		g.recordStoreOutcome(outcome)
	}
	if outcome == link.OutcomeNotStored {
		outcome = g.relay(ctx, &link.WriteCancellation{Job: id, Queue: queue})
	}
	if outcome == link.OutcomeStored {
		g.counters.Cancelled.Add(1)
	}
	g.callLatencies.Observe("cancel/"+outcome.String(), time.Since(start))
	return outcome
}

// shouldTryStore reports whether to call the store directly. After a failure it returns false
// until the store has answered another call of this process, or storeRetryAfter has passed. The
// configuration is polled all the time, so a direct attempt would only delay the caller.
func (g *Gateway) shouldTryStore() bool {
	failedAt := time.Duration(g.storeFailedAt.Load())
	sinceFailure := lease.BootTime() - failedAt
	return failedAt == 0 || sinceFailure > storeRetryAfter || g.cfg.SinceStoreReply() < sinceFailure
}

// markStoreFailed records that the store does not serve this gateway now.
func (g *Gateway) markStoreFailed() { g.storeFailedAt.Store(int64(lease.BootTime())) }

func (g *Gateway) recordStoreOutcome(outcome link.WriteOutcome) {
	switch outcome {
	case link.OutcomeNotStored, link.OutcomeUnknown:
		g.markStoreFailed()
	default:
		g.storeFailedAt.Store(0)
	}
}

// relay asks peers, one after the other, to write a record, and returns the first outcome other
// than OutcomeNotStored. A peer whose reply is lost may have written the record.
func (g *Gateway) relay(ctx context.Context, msg any) link.WriteOutcome {
	for _, address := range g.relayCandidates() {
		if ctx.Err() != nil {
			return link.OutcomeNotStored
		}
		outcome := g.relayTo(ctx, address, msg)
		if outcome != link.OutcomeNotStored {
			return outcome
		}
	}
	return link.OutcomeNotStored
}

// callPeer sends msg to a peer, which carries out the call for this gateway. The error is
// wire.ErrNotHandled if the peer has certainly not handled the message.
func (g *Gateway) callPeer(ctx context.Context, address string, msg any) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(ctx, peerTimeout)
	defer cancelDial()
	conn, err := g.pool.Conn(dialCtx, address)
	if err != nil {
		return nil, wire.ErrNotHandled
	}
	g.counters.Relayed.Add(1)
	return conn.Call(ctx, msg)
}

func (g *Gateway) relayTo(ctx context.Context, address string, msg any) link.WriteOutcome {
	raw, err := g.callPeer(ctx, address, msg)
	if err != nil {
		return outcomeOfCallError(err)
	}
	reply, ok := raw.(*link.WriteReply)
	if !ok {
		return link.OutcomeUnknown
	}
	return reply.Outcome
}
