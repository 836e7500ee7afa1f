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
func NewBatcher(store Store, queueSize int) *Batcher {
	if queueSize <= 0 {
		queueSize = DefaultBatcherQueue
	}
	b := &Batcher{store: store, queue: make(chan *pendingSwap, queueSize)}
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
		// Queued after the last batch was taken, or answered by it.
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
		case first := <-b.queue:
			b.commitBatch(b.collectBatch(first))
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

// groupByLease groups a batch by lease, in order of first occurrence.
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
