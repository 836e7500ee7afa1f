package ingress

import (
	"container/list"
	"context"
	"time"
)

// State is what a connection is doing.
type State int

// States of a connection.
const (
	// Waiting: the server waits for the client, which has begun a request or has not taken its reply,
	// or has connected and sent nothing.
	Waiting State = iota
	// Idle: the last request was answered and the next one has not begun.
	Idle
	// Serving: a request was received completely and is not answered yet.
	Serving
)

// Account is the share of one connection in a Ledger. Its methods are safe for concurrent use.
type Account struct {
	ledger *Ledger
	// closeConn closes the connection's socket and returns when its descriptor is free.
	closeConn func()
	// evicted ends when the account is evicted.
	evicted context.Context
	evict   context.CancelFunc

	// The fields below are guarded by the ledger's mutex.
	state   State
	since   time.Time // when the state began
	element *list.Element
	held    int64 // bytes
	ended   bool
}

// SetState sets the state of the connection at time now.
func (a *Account) SetState(s State, now time.Time) {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.ended || a.Evicted() {
		return
	}
	l.unlist(a)
	a.state, a.since = s, now
	l.enlist(a)
}

// Received begins a request with what was received at time now, and returns true, if the connection was
// idle.
func (a *Account) Received(now time.Time) bool {
	a.ledger.mu.Lock()
	idle := a.state == Idle
	a.ledger.mu.Unlock()
	if idle {
		a.SetState(Waiting, now)
	}
	return idle
}

// Reserve adds n bytes to what the connection holds. It returns ErrOverloaded if there is no room for
// them, or if the account is evicted meanwhile.
func (a *Account) Reserve(n int64, now time.Time) error {
	if n <= 0 {
		return nil
	}
	if err := a.ledger.acquire(a, n, now); err != nil {
		a.ledger.counters.Overloaded.Add(1)
		return err
	}
	return nil
}

// Release returns n of the bytes that the connection holds.
func (a *Account) Release(n int64) {
	a.ledger.mu.Lock()
	n = min(n, a.held)
	a.held -= n
	a.ledger.mu.Unlock()
	a.ledger.release(n)
}

// ReleaseAllBut releases what the connection holds beyond n bytes, and returns what it holds then.
func (a *Account) ReleaseAllBut(n int64) int64 {
	a.ledger.mu.Lock()
	surplus := max(0, a.held-n)
	a.held -= surplus
	held := a.held
	a.ledger.mu.Unlock()
	a.ledger.release(surplus)
	return held
}

// Evicted reports whether the connection has to end to make room for others.
func (a *Account) Evicted() bool { return a.evicted.Err() != nil }

// Close ends the account and releases what it holds. It may be called more than once.
func (a *Account) Close() {
	l := a.ledger
	l.mu.Lock()
	if a.ended {
		l.mu.Unlock()
		return
	}
	a.ended = true
	if !a.Evicted() {
		l.unlist(a)
		l.open--
	}
	held := a.held
	a.held = 0
	l.mu.Unlock()
	a.evict()
	l.release(held)
	l.counters.Connections.Add(-1)
}
