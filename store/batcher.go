package store

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"
)

// DefaultBatcherQueue is the queue of a Batcher made with none given.
const DefaultBatcherQueue = 4096

// minBatchInterval is the least time between the begins of two calls of a Batcher. A
// store that answers faster than callers arrive would otherwise get one call for
// each of them. A lone caller does not wait.
const minBatchInterval = 5 * time.Millisecond

// Batcher makes one call to the store out of the swaps of many callers. One
// call is in flight at a time, and calls begin batchEvery apart; the next carries
// all that came meanwhile, so calls grow with time, not with callers. It is safe
// for concurrent use.
type Batcher struct {
	store         Store
	queue         chan *pendingSwap
	tomb          tomb.Tomb
	commits       atomic.Int64
	lastCallStart time.Time // of the last call; the run goroutine's own
}

// NewBatcher returns a running Batcher. At most queue swaps wait for the next
// call; zero means DefaultQueue.
func NewBatcher(store Store, queue int) *Batcher {
	if queue <= 0 {
		queue = DefaultBatcherQueue
	}
	b := &Batcher{store: store, queue: make(chan *pendingSwap, queue)}
	b.tomb.Go(b.run)
	return b
}

// Close makes the swaps that wait, refuses new ones with ErrClosed, and
// returns when the last call has ended.
func (b *Batcher) Close() {
	b.tomb.Kill(nil)
	_ = b.tomb.Wait()
}

// Commits returns how many times the store's Commit has been called.
func (b *Batcher) Commits() int64 { return b.commits.Load() }

// Swap makes one compare-and-swap within the next call. An error means that it
// did not take effect: ErrBusy at once where the queue is full, ErrCanceled
// where ctx ends before it was sent, ErrClosed, or the store's own. Where ctx
// ends later, the outcome is Unknown.
func (b *Batcher) Swap(ctx context.Context, s Swap) (SwapResult, error) {
	if !b.tomb.Alive() {
		return SwapResult{}, ErrClosed
	}
	w := &pendingSwap{swap: s, done: make(chan struct{})}
	select {
	case b.queue <- w:
	default:
		return SwapResult{}, ErrQueueFull
	}
	select {
	case <-w.done:
		return w.result, w.err
	case <-ctx.Done():
		return w.abandon(ErrCanceled)
	case <-b.tomb.Dead():
		// Queued after the last batch was taken, or answered by it.
		if w.claim() {
			return SwapResult{}, ErrClosed
		}
		<-w.done
		return w.result, w.err
	}
}

func (b *Batcher) run() error {
	for {
		select {
		case w := <-b.queue:
			b.waitForInterval()
			b.commitBatch(b.collectBatch(w))
		case <-b.tomb.Dying():
			return b.drainQueue()
		}
	}
}

// waitForInterval waits until the next call may begin.
func (b *Batcher) waitForInterval() {
	timer := time.NewTimer(minBatchInterval - time.Since(b.lastCallStart))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.tomb.Dying():
	}
	b.lastCallStart = time.Now()
}

// drainQueue makes the swaps that wait when the Batcher is closed.
func (b *Batcher) drainQueue() error {
	for {
		select {
		case w := <-b.queue:
			b.commitBatch(b.collectBatch(w))
		default:
			return nil
		}
	}
}

// collectBatch takes what waits, up to one call's worth of swaps.
func (b *Batcher) collectBatch(first *pendingSwap) []*pendingSwap {
	var batch []*pendingSwap
	next := first
	for {
		if next.claim() {
			batch = append(batch, next)
		}
		if len(batch) == maxSwapsPerCall {
			return batch
		}
		select {
		case next = <-b.queue:
		default:
			return batch
		}
	}
}

// commitBatch makes one batch. A lease that is gone fails the whole call; its swap
// must not take those of other callers with it, so they are then made apart.
func (b *Batcher) commitBatch(batch []*pendingSwap) {
	if len(batch) == 0 {
		return
	}
	results, err := b.callStore(batch)
	if eris.Is(err, ErrLeaseNotFound) && len(batch) > 1 {
		for _, part := range groupByLease(batch) {
			results, err := b.callStore(part)
			completeAll(part, results, err)
		}
		return
	}
	completeAll(batch, results, err)
}

func (b *Batcher) callStore(batch []*pendingSwap) ([]SwapResult, error) {
	swaps := make([]Swap, len(batch))
	for i, w := range batch {
		swaps[i] = w.swap
	}
	b.commits.Add(1)
	return b.store.Commit(context.Background(), swaps)
}

// groupByLease groups a batch by lease, in order of first occurrence.
func groupByLease(batch []*pendingSwap) [][]*pendingSwap {
	index := make(map[LeaseID]int)
	var parts [][]*pendingSwap
	for _, w := range batch {
		i, ok := index[w.swap.Lease]
		if !ok {
			i = len(parts)
			index[w.swap.Lease] = i
			parts = append(parts, nil)
		}
		parts[i] = append(parts[i], w)
	}
	return parts
}

func completeAll(batch []*pendingSwap, results []SwapResult, err error) {
	for i, w := range batch {
		if err != nil {
			w.complete(SwapResult{}, err)
			continue
		}
		w.complete(results[i], nil)
	}
}
