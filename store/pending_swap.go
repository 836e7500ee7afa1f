package store

import "sync/atomic"

// pendingSwap is one caller's swap on its way through a Batcher. Whoever takes it,
// the batch or the caller that gives up, decides its fate.
type pendingSwap struct {
	swap    Swap
	claimed atomic.Bool
	done    chan struct{}
	result  SwapResult // valid once done is closed
	err     error
}

func (w *pendingSwap) claim() bool { return w.claimed.CompareAndSwap(false, true) }

func (w *pendingSwap) complete(res SwapResult, err error) {
	w.result, w.err = res, err
	close(w.done)
}

// abandon ends the caller's wait: the swap is withdrawn where no call has taken
// it, and of unknown outcome otherwise.
func (w *pendingSwap) abandon(err error) (SwapResult, error) {
	if w.claim() {
		return SwapResult{}, err
	}
	return SwapResult{Unknown: true}, nil
}
