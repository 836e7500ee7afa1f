package gateway

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// handle serves requests from agents and other gateways.
func (g *Gateway) handle(ctx context.Context, from *wire.Conn, msg any) (any, error) {
	switch m := msg.(type) {
	case *link.Report:
		return g.handleReport(ctx, from, m), nil
	case *link.PeerQuery:
		return g.handlePeer(m), nil
	case *link.JobQuery:
		return g.handleLookup(ctx, m), nil
	case *link.PendingQuery:
		counts, ok := g.localPending()
		return &link.PendingQueryReply{Planning: ok, Counts: counts}, nil
	case *link.WriteJob:
		outcome, at := g.jobStore.Submit(ctx, &m.Job)
		g.notifyJobSubmitted(outcome, &m.Job, at)
		return &link.WriteReply{Outcome: outcome}, nil
	case *link.WriteCancellation:
		outcome := g.jobStore.Cancel(ctx, m.Queue, m.Job)
		if outcome == link.OutcomeStored {
			g.notifyPlanner(&link.RecordNotice{Cancel: m.Job})
		}
		return &link.WriteReply{Outcome: outcome}, nil
	case *link.LivenessQuery:
		return &link.LivenessReply{Epoch: g.planningEpoch()}, nil
	case *link.StoreCall:
		return g.handleStoreCall(ctx, m), nil
	case *link.RecordNotice:
		g.handleNotice(m)
		return &link.RecordNoticeReply{}, nil
	default:
		return nil, wire.NotHandled(eris.Errorf("unexpected message %T", msg))
	}
}

// handleReport passes an agent's report to the current term. A gateway that is not the planner
// only replies with the planner's address and some gateways.
func (g *Gateway) handleReport(ctx context.Context, from *wire.Conn, m *link.Report) *link.ReportReply {
	g.counters.Reports.Add(1)
	_, planner := g.planner.get()
	reply := &link.ReportReply{Planner: planner, Members: g.members.sample()}
	t := g.currentTerm()
	if t == nil || planner != g.cfg.Listen || !t.active() && !t.extendingGrants() {
		return reply
	}
	return t.handleReport(ctx, from, m, reply)
}
