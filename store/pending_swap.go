package store

import "sync/atomic"

// pendingSwap is a swap passed from its caller to the Batcher's goroutine. The side
// that claims it first decides its result: the Batcher sends it, or the caller
// withdraws it.
type pendingSwap struct {
	swap    Swap
	claimed atomic.Bool
	done    chan struct{}
	result  SwapResult // set before done is closed
	err     error
}

func (w *pendingSwap) claim() bool { return w.claimed.CompareAndSwap(false, true) }

func (w *pendingSwap) complete(res SwapResult, err error) {
	w.result, w.err = res, err
	close(w.done)
}

// abandon withdraws the swap with err if it has not been sent; otherwise its result is
// Unknown.
func (w *pendingSwap) abandon(err error) (SwapResult, error) {
	if w.claim() {
		return SwapResult{}, err
	}
	return SwapResult{Unknown: true}, nil
}
