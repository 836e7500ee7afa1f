package ingress

import (
	"container/list"
	"context"
	"iter"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"
)

// ErrOverloaded is returned for a connection or a request for which there is no room.
var ErrOverloaded = eris.New("too many connections or requests at once")

const (
	// roomTimeout limits the wait for memory that evicted connections are about to release.
	roomTimeout = time.Second
	// minEvictedMemory is the least memory for which a connection is closed to make room for others.
	minEvictedMemory = 2 << 10
)

// Ledger accounts for the connections of a server and the memory that their requests hold. It is safe
// for concurrent use.
type Ledger struct {
	limits   Limits
	memory   *semaphore.Weighted
	counters Counters

	mu   sync.Mutex
	open int // connections that were not evicted
	// waiting and idle hold the accounts in these states, in the order in which the states began.
	waiting, idle list.List
}

// NewLedger returns a ledger without connections.
func NewLedger(limits Limits) *Ledger {
	l := &Ledger{limits: limits, memory: semaphore.NewWeighted(limits.Memory)}
	l.counters.MaxConnections.Store(int64(limits.Connections))
	l.counters.MaxRequestBytes.Store(limits.Memory)
	return l
}

// Open returns the account of a new connection, which waits for its client. If there are as many
// connections as are allowed, it evicts another one, or returns ErrOverloaded if all of them are being
// served. closeConn closes the connection's socket.
func (l *Ledger) Open(closeConn func(), now time.Time) (*Account, error) {
	a := &Account{ledger: l, closeConn: closeConn, since: now}
	a.evicted, a.evict = context.WithCancel(context.Background())
	var victim *Account
	l.mu.Lock()
	if l.open >= l.limits.Connections {
		if victim = l.nextVictim(now); victim == nil {
			l.mu.Unlock()
			a.evict()
			l.counters.ConnectionsRefused.Add(1)
			return nil, ErrOverloaded
		}
		l.remove(victim)
	}
	l.open++
	l.enlist(a)
	l.mu.Unlock()
	l.counters.Connections.Add(1)
	l.closeEvicted(victim)
	return a, nil
}

// nextVictim returns the account that is first in the order of evictions, nil if there is none.
func (l *Ledger) nextVictim(now time.Time) *Account {
	for a := range l.evictionOrder(now) {
		return a
	}
	return nil
}

// acquire reserves n bytes for an account. It evicts others for it, but none that has used less of its
// time than the account itself.
func (l *Ledger) acquire(a *Account, n int64, now time.Time) error {
	if n > l.limits.Memory || a.Evicted() {
		return ErrOverloaded
	}
	if !l.memory.TryAcquire(n) {
		if !l.makeRoom(a, n, now) {
			return ErrOverloaded
		}
		ctx, cancel := context.WithTimeout(a.evicted, roomTimeout)
		defer cancel()
		if l.memory.Acquire(ctx, n) != nil {
			return ErrOverloaded
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.ended {
		l.memory.Release(n)
		return ErrOverloaded
	}
	a.held += n
	l.counters.RequestBytes.Add(n)
	return nil
}

func (l *Ledger) release(n int64) {
	if n > 0 {
		l.memory.Release(n)
		l.counters.RequestBytes.Add(-n)
	}
}

// makeRoom evicts accounts that hold n bytes together. If there are too few before the account that
// needs the room, it evicts none and returns false.
func (l *Ledger) makeRoom(a *Account, n int64, now time.Time) bool {
	l.mu.Lock()
	victims, ok := l.victimsHolding(n, a, now)
	for _, v := range victims {
		l.remove(v)
	}
	l.mu.Unlock()
	l.closeEvicted(victims...)
	return ok
}

func (l *Ledger) victimsHolding(n int64, forAccount *Account, now time.Time) (victims []*Account, ok bool) {
	for v := range l.evictionOrder(now) {
		if v == forAccount {
			return nil, false
		}
		if v.held < minEvictedMemory {
			continue
		}
		victims = append(victims, v)
		if n -= v.held; n <= 0 {
			return victims, true
		}
	}
	return nil, false
}

// evictionOrder yields the accounts that may be evicted. The first one has used the largest part of
// the time that its state may last.
func (l *Ledger) evictionOrder(now time.Time) iter.Seq[*Account] {
	return func(yield func(*Account) bool) {
		waiting, idle := l.waiting.Front(), l.idle.Front()
		for waiting != nil || idle != nil {
			next := &waiting
			if waiting == nil || idle != nil && usedTime(idle, now, l.limits.IdleTimeout) > usedTime(waiting, now, l.limits.HeaderTimeout) {
				next = &idle
			}
			if !yield((*next).Value.(*Account)) {
				return
			}
			*next = (*next).Next()
		}
	}
}

// usedTime returns the part of limit for which the account has been in its state.
func usedTime(e *list.Element, now time.Time, limit time.Duration) float64 {
	return float64(now.Sub(e.Value.(*Account).since)) / float64(limit)
}

// remove marks an account as evicted. Its memory is released when its connection has ended.
func (l *Ledger) remove(a *Account) {
	l.unlist(a)
	l.open--
	a.evict()
}

func (l *Ledger) closeEvicted(victims ...*Account) {
	for _, a := range victims {
		if a != nil {
			l.counters.ConnectionsEvicted.Add(1)
			a.closeConn()
		}
	}
}

func (l *Ledger) enlist(a *Account) {
	switch a.state {
	case Waiting:
		a.element = l.waiting.PushBack(a)
	case Idle:
		a.element = l.idle.PushBack(a)
	}
}

func (l *Ledger) unlist(a *Account) {
	if a.element == nil {
		return
	}
	switch a.state {
	case Waiting:
		l.waiting.Remove(a.element)
	case Idle:
		l.idle.Remove(a.element)
	}
	a.element = nil
}
