package ingress

import (
	"container/heap"
	"context"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
)

// turns limits how many connections use the processor at once. Without it, the other goroutines of the
// process wait in turn with those of all connections that have received something, hundreds of them.
// Connections that had fewer turns go first, so that small requests are served beside a crowd of large
// ones.
type turns struct {
	mu    sync.Mutex
	free  int
	queue turnQueue
	asked uint64 // orders connections whose requests had as many turns
}

func newTurns() *turns { return &turns{free: runtime.GOMAXPROCS(0)} }

// turn is the turn of one connection. Its goroutine alone uses it, but for end.
type turn struct {
	turns *turns
	taken atomic.Bool
	// had is the number of turns since the connection was last idle and had sent nothing.
	had int
}

// waiter waits for a turn.
type waiter struct {
	had   int
	asked uint64
	index int // in the queue; negative once it has its turn
	given chan struct{}
}

// begin waits for a turn, unless there is one, or returns an error when ctx ends.
func (t *turn) begin(ctx context.Context) error {
	if t.taken.Load() {
		return nil
	}
	w := t.turns.ask(t.had)
	if w != nil {
		select {
		case <-w.given:
		case <-ctx.Done():
			if t.turns.withdraw(w) {
				return ctx.Err()
			}
		}
	}
	t.taken.Store(true)
	t.had++
	return nil
}

// end ends the turn, if there is one.
func (t *turn) end() {
	if t.taken.Swap(false) {
		t.turns.pass()
	}
}

// ask takes a free turn, or returns how to wait for one.
func (t *turns) ask(had int) *waiter {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.free > 0 {
		t.free--
		return nil
	}
	t.asked++
	w := &waiter{had: had, asked: t.asked, given: make(chan struct{})}
	heap.Push(&t.queue, w)
	return w
}

// withdraw returns false if the waiter has its turn already.
func (t *turns) withdraw(w *waiter) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.index < 0 {
		return false
	}
	heap.Remove(&t.queue, w.index)
	return true
}

// pass gives a turn to the next waiter.
func (t *turns) pass() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.queue) == 0 {
		t.free++
		return
	}
	close(heap.Pop(&t.queue).(*waiter).given)
}

// turnQueue implements heap.Interface.
type turnQueue []*waiter

func (q turnQueue) Len() int { return len(q) }

func (q turnQueue) Less(i, j int) bool {
	if q[i].had != q[j].had {
		return q[i].had < q[j].had
	}
	return q[i].asked < q[j].asked
}

func (q turnQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *turnQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *turnQueue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.index = -1
	return w
}

// Compute calls f when it is the turn of the request's connection. f uses the processor and does not
// block. Compute returns ErrOverloaded if the client's connection ends before.
func Compute(req *http.Request, f func()) error {
	c := connOf(req)
	if c == nil {
		f()
		return nil
	}
	if c.turn.begin(req.Context()) != nil {
		return ErrOverloaded
	}
	defer c.turn.end()
	f()
	return nil
}
