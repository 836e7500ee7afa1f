package agent

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

var errNotHandled = eris.New("not a message for an agent")

// handle serves messages from entries, and reports from the agents that use this one as
// their relay.
func (a *Agent) handle(ctx context.Context, from *wire.Conn, msg any) (any, error) {
	switch m := msg.(type) {
	case *wire.Execute:
		return a.execute(ctx, m), nil
	case *wire.ResolveAttempt:
		return a.resolveAttempt(ctx, m), nil
	case *wire.GangMessage:
		return a.handleGangMessage(ctx, from, m)
	case *wire.PublishDocuments:
		return a.publishDocuments(m), nil
	case *wire.Report:
		return a.reporter.handleMemberReport(from, m)
	default:
		return nil, errNotHandled
	}
}

func (a *Agent) execute(ctx context.Context, m *wire.Execute) *wire.ExecuteReply {
	reply := a.quickExecutor.execute(ctx, m)
	reply.Incarnation = a.incarnation
	return reply
}

// resolveAttempt answers for attempts of this incarnation only, since the records of
// earlier ones are lost.
func (a *Agent) resolveAttempt(ctx context.Context, m *wire.ResolveAttempt) *wire.ResolveAttemptReply {
	if m.Incarnation != a.incarnation {
		return &wire.ResolveAttemptReply{State: wire.AttemptUnknown}
	}
	return a.quickExecutor.resolveAndWait(ctx, m.AttemptID, m.MaxWait)
}

func (a *Agent) handleGangMessage(ctx context.Context, from *wire.Conn, m *wire.GangMessage) (any, error) {
	reply := a.gangRunner.handleMessage(ctx, from.Peer().ID, m)
	if reply == nil {
		return nil, errNotHandled
	}
	return encodeGangReply(*reply), nil
}

func encodeGangReply(r gang.Reply) *wire.GangReply {
	data, err := cbor.Marshal(r)
	if err != nil {
		panic("agent: encode gang reply: " + err.Error())
	}
	return &wire.GangReply{Payload: data}
}

// publishDocuments adds documents from an entry or relay to the agent's active set and
// returns the generations it then holds.
func (a *Agent) publishDocuments(msg *wire.PublishDocuments) *wire.PublishDocumentsAck {
	for _, v := range msg.Versions {
		a.documents.Update(time.Now(), v)
	}
	return &wire.PublishDocumentsAck{Generations: a.documents.Summaries()}
}
