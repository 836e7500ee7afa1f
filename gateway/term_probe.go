package gateway

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// An order that gets no answer may have reached the agent, so its tasks wait until no call to the worker can be
// carried out any more. One that was never sent causes no call, and its tasks can start elsewhere at once. So
// starts are sent only to a process that has been heard from since they were decided. It is probed while the
// placement is being stored, which hides the round trip. That leaves processes that end between that message and
// the order, which are maxContactAge apart at the most.

const (
	// maxContactAge is how long ago an agent must have been heard from when starts are sent to it.
	maxContactAge = 100 * time.Millisecond
	// agentProbeTimeout is how long an agent may take to answer a probe. Its worker gets no new tasks anyway if
	// its reports take longer.
	agentProbeTimeout = 600 * time.Millisecond
)

// agentProbe is a ping of an agent's process. answered may be read once done is closed.
type agentProbe struct {
	startedAt time.Time
	done      chan struct{}
	answered  bool
}

// probeAgents starts probes of the agents that starts will be sent to.
func (t *term) probeAgents(agents []string) {
	for _, agent := range agents {
		if conn := t.connTo(agent); conn != nil {
			t.probe(conn)
		}
	}
}

// probe returns the probe of the connection that is in progress, or starts one.
func (t *term) probe(conn *wire.Conn) *agentProbe {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.probes[conn]; p != nil {
		return p
	}
	p := &agentProbe{startedAt: time.Now(), done: make(chan struct{})}
	t.probes[conn] = p
	go t.runProbe(conn, p)
	return p
}

func (t *term) runProbe(conn *wire.Conn, p *agentProbe) {
	ctx, cancel := context.WithTimeout(t.tomb.Context(context.Background()), agentProbeTimeout)
	defer cancel()
	p.answered = conn.Ping(ctx) == nil
	t.mu.Lock()
	delete(t.probes, conn)
	t.mu.Unlock()
	close(p.done)
}

// agentAnswers reports whether the process at the other end of conn has been heard from within maxContactAge,
// and since the probe in progress began if there is one. Otherwise it waits for the answer to a probe.
func (t *term) agentAnswers(conn *wire.Conn) bool {
	t.mu.Lock()
	inProgress := t.probes[conn]
	t.mu.Unlock()
	since := time.Now().Add(-maxContactAge)
	if inProgress != nil && inProgress.startedAt.After(since) {
		since = inProgress.startedAt
	}
	if conn.LastReceived().After(since) {
		return true
	}
	p := t.probe(conn)
	<-p.done
	return p.answered
}

// withholdUnanswered removes the starts from orders if the agent does not answer, and returns their results.
func (t *term) withholdUnanswered(conn *wire.Conn, orders engine.Orders) (engine.Orders, []engine.StartResult) {
	if len(orders.Starts) == 0 || conn != nil && t.agentAnswers(conn) {
		return orders, nil
	}
	t.g.counters.StartsUnsent.Add(int64(len(orders.Starts)))
	return withoutStarts(orders)
}
