package entry

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

var (
	errUnsupportedMessage = eris.New("not a message for an entry")
	// errStarting is returned while the endpoint accepts connections but the components
	// that handle messages have not been created; they need the endpoint's address.
	errStarting = wire.NotHandled(eris.New("the entry is starting"))
)

// handle serves the messages of agents and other entries.
func (e *Entry) handle(ctx context.Context, from *wire.Conn, msg any) (any, error) {
	select {
	case <-e.started:
	default:
		return nil, errStarting
	}
	switch m := msg.(type) {
	case *wire.Report:
		return e.members.handleReport(from.Peer().ID, from.RemoteAddr(), m), nil
	case *wire.GangMessage:
		return e.handleTaskEnd(from, m)
	case *wire.FetchDocuments:
		return e.answerFetch(m), nil
	case *wire.InspectRequest:
		return e.answerInspect(ctx, m), nil
	case *wire.JobStatusRequest:
		return e.answerStatus(ctx, m), nil
	default:
		return nil, errUnsupportedMessage
	}
}

// handleTaskEnd passes to the planner the unsolicited reply that an agent sends when a
// task ends.
func (e *Entry) handleTaskEnd(from *wire.Conn, m *wire.GangMessage) (any, error) {
	reply, err := decodeGangReply(m.Payload)
	if err != nil {
		return nil, err
	}
	member := e.members.find(from.Peer().ID)
	if member == nil {
		return nil, errUnsupportedMessage
	}
	if p := e.elections.planner(member.Report.Service); p != nil {
		p.HandleReply(from.Peer().ID, reply)
	}
	return &wire.GangReply{}, nil
}
