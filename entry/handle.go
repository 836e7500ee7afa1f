package entry

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

var (
	errNotHandled = eris.New("not a message for an entry")
	// errStarting: the endpoint listens already, for its address is part of the
	// rest, but the parts that serve messages are not there yet.
	errStarting = wire.NotHandled(eris.New("the entry is starting"))
)

// handle serves what agents and other entries send.
func (e *Entry) handle(ctx context.Context, from *wire.Conn, msg any) (any, error) {
	select {
	case <-e.started:
	default:
		return nil, errStarting
	}
	switch m := msg.(type) {
	case *wire.Report:
		return e.members.report(from.Peer().ID, m), nil
	case *wire.GangMessage:
		return e.taskEnded(from, m)
	case *wire.FetchDocuments:
		return e.fetch(m), nil
	case *wire.InspectRequest:
		return e.answerInspect(ctx, m), nil
	case *wire.JobStatusRequest:
		return e.answerStatus(ctx, m), nil
	default:
		return nil, errNotHandled
	}
}

// taskEnded takes the reply that an agent sends by itself at the end of a task.
func (e *Entry) taskEnded(from *wire.Conn, m *wire.GangMessage) (any, error) {
	reply, err := decodeGangReply(m.Payload)
	if err != nil {
		return nil, err
	}
	member := e.members.find(from.Peer().ID)
	if member == nil {
		return nil, errNotHandled
	}
	if p := e.duties.planner(member.Report.Service); p != nil {
		p.HandleReply(from.Peer().ID, reply)
	}
	return &wire.GangReply{}, nil
}
