package gateway

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// handle serves the exchanges that agents and other gateways open.
func (g *Gateway) handle(ctx context.Context, from *wire.Conn, msg any) (any, error) {
	switch m := msg.(type) {
	case *link.Report:
		return g.report(ctx, from, m), nil
	case *link.Peer:
		return g.answerPeer(m), nil
	case *link.Lookup:
		return g.answerLookup(ctx, m), nil
	case *link.Pending:
		counts, ok := g.ownPending()
		return &link.PendingReply{Planning: ok, Counts: counts}, nil
	case *link.Accept:
		outcome, at := g.intake.Submit(ctx, &m.Job)
		g.noticeJob(outcome, &m.Job, at)
		return &link.RecordReply{Outcome: outcome}, nil
	case *link.Cancel:
		outcome := g.intake.Cancel(ctx, m.Queue, m.Job)
		if outcome == link.OutcomeStored {
			g.notice(&link.Notice{Cancel: m.Job})
		}
		return &link.RecordReply{Outcome: outcome}, nil
	case *link.Alive:
		return &link.AliveReply{Epoch: g.plansUnder()}, nil
	case *link.StoreCall:
		return g.answerStoreCall(ctx, m), nil
	case *link.Notice:
		g.takeNotice(m)
		return &link.NoticeReply{}, nil
	default:
		return nil, wire.NotRun(eris.Errorf("unexpected message %T", msg))
	}
}

// report passes an agent's report to the planner's term.
func (g *Gateway) report(ctx context.Context, from *wire.Conn, m *link.Report) *link.ReportReply {
	g.counts.Reports.Add(1)
	_, planner := g.planners.get()
	reply := &link.ReportReply{Planner: planner, Members: g.members.sample()}
	t := g.currentTerm()
	if t == nil || planner != g.cfg.Listen || !t.active() && !t.extending() {
		return reply
	}
	return t.report(ctx, from, m, reply)
}
