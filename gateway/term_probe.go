package gateway

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// agentProbeTimeout is how long an agent may take to answer before starts are sent to it. Its worker gets no
// new tasks anyway if its reports take longer.
const agentProbeTimeout = 600 * time.Millisecond

// withholdUnanswered removes the starts from orders if the agent's process does not answer, and returns their
// results. An order that gets no answer may have reached the process, so its tasks wait for calls to the worker
// that may still be carried out. One that was never sent causes no call, and its tasks can start elsewhere at
// once. That leaves processes that end within a round trip.
func (t *term) withholdUnanswered(conn *wire.Conn, orders engine.Orders) (engine.Orders, []engine.StartResult) {
	if len(orders.Starts) == 0 || conn != nil && t.agentAnswers(conn) {
		return orders, nil
	}
	t.g.counters.StartsUnsent.Add(int64(len(orders.Starts)))
	return withoutStarts(orders)
}

// agentAnswers reports whether the process at the other end of conn answers.
func (t *term) agentAnswers(conn *wire.Conn) bool {
	ctx, cancel := context.WithTimeout(t.tomb.Context(context.Background()), agentProbeTimeout)
	defer cancel()
	return conn.Ping(ctx) == nil
}
