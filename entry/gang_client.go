package entry

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// gangClient sends messages of the gang protocol over the agents' connections. It
// implements planner.AgentClient.
type gangClient struct {
	agents *agentConns
}

// SendGangMessage implements planner.AgentClient.
func (c gangClient) SendGangMessage(ctx context.Context, agent string, m gang.Message) (gang.Reply, error) {
	data, err := cbor.Marshal(gang.Pack(m))
	if err != nil {
		return gang.Reply{}, err
	}
	got, err := c.agents.call(ctx, agent, &wire.GangMessage{Payload: data, Epoch: m.Head().Sender}, anyConn)
	if err != nil {
		return gang.Reply{}, err
	}
	reply, ok := got.(*wire.GangReply)
	if !ok {
		return gang.Reply{}, errBadReply
	}
	return decodeGangReply(reply.Payload)
}

func decodeGangReply(data []byte) (gang.Reply, error) {
	var r gang.Reply
	err := cbor.Unmarshal(data, &r)
	return r, err
}
