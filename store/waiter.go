package store

import "sync/atomic"

// waiter is one caller's swap on its way through a Batcher. Whoever takes it,
// the batch or the caller that gives up, decides its fate.
type waiter struct {
	swap   Swap
	taken  atomic.Bool
	done   chan struct{}
	result SwapResult // valid once done is closed
	err    error
}

func (w *waiter) take() bool { return w.taken.CompareAndSwap(false, true) }

func (w *waiter) finish(res SwapResult, err error) {
	w.result, w.err = res, err
	close(w.done)
}

// giveUp ends the caller's wait: the swap is withdrawn where no call has taken
// it, and of unknown outcome otherwise.
func (w *waiter) giveUp(err error) (SwapResult, error) {
	if w.take() {
		return SwapResult{}, err
	}
	return SwapResult{Unknown: true}, nil
}
