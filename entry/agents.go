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
	// errUnreachable: there is neither a connection to the agent nor an address to dial.
	errUnreachable = eris.New("no path to the agent")
	// errUnresponsive: a connection is open, but the agent does not answer a ping on it.
	errUnresponsive = eris.New("the agent does not answer a ping")
)

// agentConns holds the connections that agents have opened, and dials agents whose
// connection is gone. It is safe for concurrent use.
type agentConns struct {
	pool *wire.Pool

	mu            sync.RWMutex
	incarnations  map[string]uint64 // the latest one of each agent, whose connection and address are kept
	conns         map[string]*wire.Conn
	addrs         map[string]string
	lastDialedUse map[string]time.Time // last use of a connection opened here, by address
}

func newAgentConns() *agentConns {
	return &agentConns{
		incarnations:  make(map[string]uint64),
		conns:         make(map[string]*wire.Conn),
		addrs:         make(map[string]string),
		lastDialedUse: make(map[string]time.Time),
	}
}

// advance reports whether an incarnation is the latest known one of an agent. What is kept
// of an earlier one is dropped. Without that, the orders for a process could go to another
// one with its id that dialed last, which refuses them. The caller holds a.mu.
func (a *agentConns) advance(id string, incarnation uint64) bool {
	known := a.incarnations[id]
	if incarnation < known {
		return false
	}
	if incarnation > known {
		a.incarnations[id] = incarnation
		delete(a.addrs, id)
		delete(a.conns, id)
	}
	return true
}

// onAccepted records a connection opened by an agent. It replaces an older one: an agent
// dials again when its connection has stopped responding, which this side may not have
// detected yet.
func (a *agentConns) onAccepted(c *wire.Conn) {
	peer := c.Peer()
	if peer.Role != wire.RoleAgent {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.advance(peer.ID, peer.Incarnation) {
		a.conns[peer.ID] = c
	}
}

// setAddr records where an agent listens.
func (a *agentConns) setAddr(id string, incarnation uint64, addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.advance(id, incarnation) {
		a.addrs[id] = addr
	}
}

// remove drops an agent whose given incarnation has left or is lost.
func (a *agentConns) remove(id string, incarnation uint64) {
	a.mu.Lock()
	if incarnation < a.incarnations[id] {
		a.mu.Unlock()
		return
	}
	addr := a.addrs[id]
	delete(a.incarnations, id)
	delete(a.addrs, id)
	delete(a.conns, id)
	delete(a.lastDialedUse, addr)
	a.mu.Unlock()
	if addr != "" {
		a.pool.Remove(addr)
	}
}

// connCheck selects how a connection is checked before a call uses it.
type connCheck int

const (
	// anyConn accepts a connection that is not suspected, though the agent may no longer
	// answer on it.
	anyConn connCheck = iota
	// verifiedConn requires an answered ping first. When many connections fail at once,
	// idle ones are not suspected yet, and a retry on one of them would be lost like the
	// first attempt.
	verifiedConn
)

// conn returns a connection to the agent: the one that the agent opened, or one dialed
// now. Its errors match wire.ErrNotHandled.
func (a *agentConns) conn(ctx context.Context, id string, check connCheck) (*wire.Conn, error) {
	a.mu.RLock()
	c := a.conns[id]
	addr := a.addrs[id]
	a.mu.RUnlock()
	if c != nil && c.Usable() && (check == anyConn || answersPing(ctx, c)) {
		return c, nil
	}
	if addr == "" {
		return nil, notHandled(errUnreachable)
	}
	c, err := a.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	if check == verifiedConn && !answersPing(ctx, c) {
		return nil, notHandled(errUnresponsive)
	}
	return c, nil
}

// dialTimeout is how long a call waits for a connection that is being dialed. The
// handshake with a dead agent takes seconds to fail; waiting for it would use up the
// deadline of a request that another target could serve. The dial continues in the pool
// for later calls.
const dialTimeout = 400 * time.Millisecond

func (a *agentConns) dial(ctx context.Context, addr string) (*wire.Conn, error) {
	a.mu.Lock()
	a.lastDialedUse[addr] = time.Now()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return a.pool.Conn(ctx, addr)
}

func notHandled(cause error) error {
	return &wire.CallError{Outcome: wire.ErrNotHandled, Cause: cause}
}

func answersPing(ctx context.Context, c *wire.Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return c.Ping(ctx) == nil
}

// call makes one exchange with the agent. When the connection becomes suspected, the
// exchange is cancelled and call returns early with wire.ErrOutcomeUnknown.
//
// Either end may close an idle connection just as it is chosen. Such a call fails with
// both wire.ErrClosed and wire.ErrNotHandled, and is retried once on a new connection.
func (a *agentConns) call(ctx context.Context, id string, msg any, check connCheck) (any, error) {
	c, err := a.conn(ctx, id, check)
	if err != nil {
		return nil, err
	}
	reply, err := callUnlessSuspected(ctx, c, msg)
	if err == nil || !errors.Is(err, wire.ErrClosed) || !errors.Is(err, wire.ErrNotHandled) || ctx.Err() != nil {
		return reply, err
	}
	if c, err = a.conn(ctx, id, check); err != nil {
		return nil, err
	}
	return callUnlessSuspected(ctx, c, msg)
}

// callEntry makes one exchange with another entry. Like call, it returns early when the
// connection becomes suspected.
func (a *agentConns) callEntry(ctx context.Context, addr string, msg any) (any, error) {
	c, err := a.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return callUnlessSuspected(ctx, c, msg)
}

// callUnlessSuspected makes one exchange and cancels it when the connection becomes
// suspected.
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
