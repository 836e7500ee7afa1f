package entry

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// errNoPath: no connection to the agent and no address to dial.
var errNoPath = eris.New("no path to the agent")

// agents keeps the connections that agents have dialled, and dials those whose
// connection has gone. It is safe for concurrent use.
type agents struct {
	pool *wire.Pool

	mu    sync.RWMutex
	conns map[string]*wire.Conn
	addrs map[string]string
}

func newAgents() *agents {
	return &agents{
		conns: make(map[string]*wire.Conn),
		addrs: make(map[string]string),
	}
}

// accepted takes a connection that an agent dialled. The newest wins: an agent
// dials again when its old connection has gone silent, which this end may not
// have noticed yet.
func (a *agents) accepted(c *wire.Conn) {
	if c.Peer().Role != wire.RoleAgent {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns[c.Peer().ID] = c
}

// place notes where an agent listens.
func (a *agents) place(id, addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addrs[id] = addr
}

// forget drops an agent that has left.
func (a *agents) forget(id string) {
	a.mu.Lock()
	addr := a.addrs[id]
	delete(a.addrs, id)
	delete(a.conns, id)
	a.mu.Unlock()
	if addr != "" {
		a.pool.Forget(addr)
	}
}

// conn returns a usable connection to the agent: its own, or one dialled now.
// Errors match wire.ErrNotSent.
func (a *agents) conn(ctx context.Context, id string) (*wire.Conn, error) {
	a.mu.RLock()
	c := a.conns[id]
	addr := a.addrs[id]
	a.mu.RUnlock()
	if c != nil && c.Usable() {
		return c, nil
	}
	if addr == "" {
		return nil, &wire.CallError{Outcome: wire.ErrNotSent, Cause: errNoPath}
	}
	return a.pool.Conn(ctx, addr)
}

// call makes one exchange with the agent. It returns early, with
// wire.ErrOutcomeUnknown, when the connection is suspected of having gone silent
// and abandon is set; the exchange is then cancelled.
func (a *agents) call(ctx context.Context, id string, msg any, abandon bool) (any, error) {
	c, err := a.conn(ctx, id)
	if err != nil {
		return nil, err
	}
	if !abandon {
		return c.Call(ctx, msg)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-c.Suspected():
			cancel()
		case <-ctx.Done():
		}
	}()
	return c.Call(ctx, msg)
}
