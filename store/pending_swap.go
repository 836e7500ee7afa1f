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

func (p *pendingSwap) claim() bool { return p.claimed.CompareAndSwap(false, true) }

func (p *pendingSwap) complete(res SwapResult, err error) {
	p.result, p.err = res, err
	close(p.done)
}

// abandon withdraws the swap with err if it has not been sent; otherwise its result is
// Unknown.
func (p *pendingSwap) abandon(err error) (SwapResult, error) {
	if p.claim() {
		return SwapResult{}, err
	}
	return SwapResult{Unknown: true}, nil
}
