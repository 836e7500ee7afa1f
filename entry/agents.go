package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

var (
	// errNoPath: no connection to the agent and no address to dial.
	errNoPath = eris.New("no path to the agent")
	// errSilent: a connection is open and the agent does not answer on it.
	errSilent = eris.New("the agent does not answer a ping")
)

// agents keeps the connections that agents have dialled, and dials those whose
// connection has gone. It is safe for concurrent use.
type agents struct {
	pool *wire.Pool

	mu     sync.RWMutex
	conns  map[string]*wire.Conn
	addrs  map[string]string
	dialed map[string]time.Time // last use of a connection dialled here, by address
}

func newAgents() *agents {
	return &agents{
		conns:  make(map[string]*wire.Conn),
		addrs:  make(map[string]string),
		dialed: make(map[string]time.Time),
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
	delete(a.dialed, addr)
	a.mu.Unlock()
	if addr != "" {
		a.pool.Remove(addr)
	}
}

// path says which connections a call may use.
type path int

const (
	// anyPath: one that is not suspected. It may have gone silent meanwhile.
	anyPath path = iota
	// provedPath: one on which the agent answered a ping just now. When many
	// connections go silent at once, those without calls are not suspected yet,
	// and a retry would be lost on the next one as the first attempt was.
	provedPath
)

// conn returns a connection to the agent: its own, or one dialled now. Errors
// match wire.ErrNotSent.
func (a *agents) conn(ctx context.Context, id string, p path) (*wire.Conn, error) {
	a.mu.RLock()
	c := a.conns[id]
	addr := a.addrs[id]
	a.mu.RUnlock()
	if c != nil && c.Usable() && (p == anyPath || proved(ctx, c)) {
		return c, nil
	}
	if addr == "" {
		return nil, noPath(errNoPath)
	}
	c, err := a.dialled(ctx, addr)
	if err != nil {
		return nil, err
	}
	if p == provedPath && !proved(ctx, c) {
		return nil, noPath(errSilent)
	}
	return c, nil
}

// dialWait is how long a call waits for a connection that is being dialled. A
// dead agent leaves the handshake unanswered for seconds; a request that waited
// for it would miss its deadline although other targets are free. The dial goes
// on in the pool for later calls.
const dialWait = 400 * time.Millisecond

func (a *agents) dialled(ctx context.Context, addr string) (*wire.Conn, error) {
	a.mu.Lock()
	a.dialed[addr] = time.Now()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialWait)
	defer cancel()
	return a.pool.Conn(ctx, addr)
}

func noPath(cause error) error {
	return &wire.CallError{Outcome: wire.ErrNotHandled, Cause: cause}
}

func proved(ctx context.Context, c *wire.Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return c.Ping(ctx) == nil
}

// call makes one exchange with the agent. It returns early, with
// wire.ErrOutcomeUnknown, when the connection is suspected of having gone silent;
// the exchange is then cancelled.
//
// A connection may be closed for want of use, by either end, in the moment in
// which it is chosen. It shows as a call that was not sent on a connection that
// is not usable any more; that is tried once more on a new one.
func (a *agents) call(ctx context.Context, id string, msg any, p path) (any, error) {
	c, err := a.conn(ctx, id, p)
	if err != nil {
		return nil, err
	}
	reply, err := callUnlessSilent(ctx, c, msg)
	if err == nil || !errors.Is(err, wire.ErrClosed) || !errors.Is(err, wire.ErrNotHandled) || ctx.Err() != nil {
		return reply, err
	}
	if c, err = a.conn(ctx, id, p); err != nil {
		return nil, err
	}
	return callUnlessSilent(ctx, c, msg)
}

// callEntry makes one exchange with another entry, and ends as early as call.
func (a *agents) callEntry(ctx context.Context, addr string, msg any) (any, error) {
	c, err := a.dialled(ctx, addr)
	if err != nil {
		return nil, err
	}
	return callUnlessSilent(ctx, c, msg)
}

// callUnlessSilent makes one exchange, which ends when the connection is suspected.
func callUnlessSilent(ctx context.Context, c *wire.Conn, msg any) (any, error) {
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
