package store

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"
)

// DefaultBatcherQueue is the queue length of a Batcher that is created with none.
const DefaultBatcherQueue = 4096

// minBatchInterval is the minimum time between the starts of two calls of a Batcher.
// Without it, a store that answers faster than swaps arrive gets one call for each
// swap. A swap that arrives after an idle interval is sent at once.
const minBatchInterval = 5 * time.Millisecond

// Batcher combines the swaps of concurrent callers into calls to a Store. One call is
// in flight at a time, and calls start at least minBatchInterval apart; each carries
// the swaps queued since the previous one. It is safe for concurrent use.
type Batcher struct {
	store         Store
	queue         chan *pendingSwap
	tomb          tomb.Tomb
	commits       atomic.Int64
	lastCallStart time.Time // owned by the run goroutine
}

// NewBatcher starts a Batcher on store. At most queueSize swaps wait for the next call;
// zero means DefaultBatcherQueue.
func NewBatcher(store Store, queueSize int) *Batcher {
	if queueSize <= 0 {
		queueSize = DefaultBatcherQueue
	}
	b := &Batcher{store: store, queue: make(chan *pendingSwap, queueSize)}
	b.tomb.Go(b.run)
	return b
}

// Close sends the queued swaps, rejects new ones with ErrClosed, and returns when the
// last call has ended.
func (b *Batcher) Close() {
	b.tomb.Kill(nil)
	_ = b.tomb.Wait()
}

// Commits returns the number of calls to the store's Commit so far.
func (b *Batcher) Commits() int64 { return b.commits.Load() }

// Swap makes one compare-and-swap as part of the next call. An error means that the
// swap did not take effect: ErrQueueFull if the queue is full, ErrCanceled if ctx ends
// before the swap is sent, ErrClosed, or an error of the store. If ctx ends after the
// swap was sent, the result is Unknown.
func (b *Batcher) Swap(ctx context.Context, s Swap) (SwapResult, error) {
	if !b.tomb.Alive() {
		return SwapResult{}, ErrClosed
	}
	pending := &pendingSwap{swap: s, done: make(chan struct{})}
	select {
	case b.queue <- pending:
	default:
		return SwapResult{}, ErrQueueFull
	}
	select {
	case <-pending.done:
		return pending.result, pending.err
	case <-ctx.Done():
		return pending.abandon(ErrCanceled)
	case <-b.tomb.Dead():
		// The swap was queued after the last batch was collected, or that batch
		// completed it.
		if pending.claim() {
			return SwapResult{}, ErrClosed
		}
		<-pending.done
		return pending.result, pending.err
	}
}

func (b *Batcher) run() error {
	for {
		select {
		case first := <-b.queue:
			b.waitForInterval()
			b.commitBatch(b.collectBatch(first))
		case <-b.tomb.Dying():
			return b.drainQueue()
		}
	}
}

// waitForInterval waits until minBatchInterval has passed since the start of the last
// call, or until the Batcher is closed.
func (b *Batcher) waitForInterval() {
	timer := time.NewTimer(minBatchInterval - time.Since(b.lastCallStart))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.tomb.Dying():
	}
	b.lastCallStart = time.Now()
}

// drainQueue sends the swaps that are still queued when the Batcher is closed.
func (b *Batcher) drainQueue() error {
	for {
		select {
		case first := <-b.queue:
			b.commitBatch(b.collectBatch(first))
		default:
			return nil
		}
	}
}

// collectBatch returns first and the queued swaps, up to maxSwapsPerCall, without those
// whose callers have given up.
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

// commitBatch sends one batch. The service rejects the whole call if one swap's lease
// does not exist, so the batch is then sent again in one call per lease, and only the
// callers with the missing lease see the error.
func (b *Batcher) commitBatch(batch []*pendingSwap) {
	if len(batch) == 0 {
		return
	}
	results, err := b.callStore(batch)
	if eris.Is(err, ErrLeaseNotFound) && len(batch) > 1 {
		for _, group := range groupByLease(batch) {
			results, err := b.callStore(group)
			completeAll(group, results, err)
		}
		return
	}
	completeAll(batch, results, err)
}

func (b *Batcher) callStore(batch []*pendingSwap) ([]SwapResult, error) {
	swaps := make([]Swap, len(batch))
	for i, pending := range batch {
		swaps[i] = pending.swap
	}
	b.commits.Add(1)
	return b.store.Commit(context.Background(), swaps)
}

// groupByLease groups a batch by lease, in the order of first occurrence.
func groupByLease(batch []*pendingSwap) [][]*pendingSwap {
	groupOfLease := make(map[LeaseID]int)
	var groups [][]*pendingSwap
	for _, pending := range batch {
		n, ok := groupOfLease[pending.swap.Lease]
		if !ok {
			n = len(groups)
			groupOfLease[pending.swap.Lease] = n
			groups = append(groups, nil)
		}
		groups[n] = append(groups[n], pending)
	}
	return groups
}

func completeAll(batch []*pendingSwap, results []SwapResult, err error) {
	for i, pending := range batch {
		if err != nil {
			pending.complete(SwapResult{}, err)
			continue
		}
		pending.complete(results[i], nil)
	}
}
