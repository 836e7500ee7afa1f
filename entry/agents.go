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
	// errUnreachable: no connection to the agent and no address to dial.
	errUnreachable = eris.New("no path to the agent")
	// errUnresponsive: a connection is open and the agent does not answer on it.
	errUnresponsive = eris.New("the agent does not answer a ping")
)

// agentConns keeps the connections that agentConns have dialled, and dials those whose
// connection has gone. It is safe for concurrent use.
type agentConns struct {
	pool *wire.Pool

	mu            sync.RWMutex
	conns         map[string]*wire.Conn
	addrs         map[string]string
	lastDialedUse map[string]time.Time // last use of a connection dialled here, by address
}

func newAgentConns() *agentConns {
	return &agentConns{
		conns:         make(map[string]*wire.Conn),
		addrs:         make(map[string]string),
		lastDialedUse: make(map[string]time.Time),
	}
}

// onAccepted takes a connection that an agent dialled. The newest wins: an agent
// dials again when its old connection has gone silent, which this end may not
// have noticed yet.
func (a *agentConns) onAccepted(c *wire.Conn) {
	if c.Peer().Role != wire.RoleAgent {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns[c.Peer().ID] = c
}

// setAddr notes where an agent listens.
func (a *agentConns) setAddr(id, addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addrs[id] = addr
}

// remove drops an agent that has left.
func (a *agentConns) remove(id string) {
	a.mu.Lock()
	addr := a.addrs[id]
	delete(a.addrs, id)
	delete(a.conns, id)
	delete(a.lastDialedUse, addr)
	a.mu.Unlock()
	if addr != "" {
		a.pool.Forget(addr)
	}
}

// connCheck says which connections a call may use.
type connCheck int

const (
	// anyConn: one that is not suspected. It may have gone silent meanwhile.
	anyConn connCheck = iota
	// verifiedConn: one on which the agent answered a ping just now. When many
	// connections go silent at once, those without calls are not suspected yet,
	// and a retry would be lost on the next one as the first attempt was.
	verifiedConn
)

// conn returns a connection to the agent: its own, or one dialled now. Errors
// match wire.ErrNotSent.
func (a *agentConns) conn(ctx context.Context, id string, check connCheck) (*wire.Conn, error) {
	a.mu.RLock()
	c := a.conns[id]
	addr := a.addrs[id]
	a.mu.RUnlock()
	if c != nil && c.Usable() && (check == anyConn || answersPing(ctx, c)) {
		return c, nil
	}
	if addr == "" {
		return nil, notSent(errUnreachable)
	}
	c, err := a.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	if check == verifiedConn && !answersPing(ctx, c) {
		return nil, notSent(errUnresponsive)
	}
	return c, nil
}

// dialTimeout is how long a call waits for a connection that is being dialled. A
// dead agent leaves the handshake unanswered for seconds; a request that waited
// for it would miss its deadline although other targets are free. The dial goes
// on in the pool for later calls.
const dialTimeout = 400 * time.Millisecond

func (a *agentConns) dial(ctx context.Context, addr string) (*wire.Conn, error) {
	a.mu.Lock()
	a.lastDialedUse[addr] = time.Now()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return a.pool.Conn(ctx, addr)
}

func notSent(cause error) error {
	return &wire.CallError{Outcome: wire.ErrNotSent, Cause: cause}
}

func answersPing(ctx context.Context, c *wire.Conn) bool {
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
func (a *agentConns) call(ctx context.Context, id string, msg any, check connCheck) (any, error) {
	c, err := a.conn(ctx, id, check)
	if err != nil {
		return nil, err
	}
	reply, err := callUnlessSuspected(ctx, c, msg)
	if err == nil || !errors.Is(err, wire.ErrClosed) || !errors.Is(err, wire.ErrNotSent) || ctx.Err() != nil {
		return reply, err
	}
	if c, err = a.conn(ctx, id, check); err != nil {
		return nil, err
	}
	return callUnlessSuspected(ctx, c, msg)
}

// callEntry makes one exchange with another entry, and ends as early as call.
func (a *agentConns) callEntry(ctx context.Context, addr string, msg any) (any, error) {
	c, err := a.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return callUnlessSuspected(ctx, c, msg)
}

// callUnlessSuspected makes one exchange, which ends when the connection is suspected.
func callUnlessSuspected(ctx context.Context, c *wire.Conn, msg any) (any, error) {
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
