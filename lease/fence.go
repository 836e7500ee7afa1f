package lease

import "sync/atomic"

// Fence is the receiver's side of a duty: it keeps the highest epoch seen and
// refuses orders of lower ones. One Fence serves one duty. The zero value has
// seen nothing. It is safe for concurrent use.
//
// It guards against a holder that was paused, or cut off, while another took
// over, and whose orders arrive after the successor's. A receiver that restarts
// starts with an empty Fence, and must not take orders before it knows that
// nothing of what it forgot can still arrive.
type Fence struct {
	highest atomic.Uint64
}

// Admit returns ErrStaleEpoch for an epoch lower than the highest admitted.
// The check and what it protects must be one step at the receiver: an order
// admitted and then held back may be overtaken by one of a higher epoch.
func (f *Fence) Admit(epoch uint64) error {
	for {
		highest := f.highest.Load()
		if epoch < highest {
			return ErrStaleEpoch
		}
		if f.highest.CompareAndSwap(highest, epoch) {
			return nil
		}
	}
}

// Highest returns the highest epoch admitted, to be told to a refused holder.
func (f *Fence) Highest() uint64 { return f.highest.Load() }
