package lease

import "sync/atomic"

// Fence is used by a receiver of a leader's orders: it keeps the highest epoch seen and
// refuses orders with a lower one, which come from a leader that was replaced. One Fence
// serves one election. The zero value accepts any epoch. It is safe for concurrent use.
//
// A receiver that restarts begins with an empty Fence, and must not accept orders until
// no order can arrive that the lost Fence would have refused.
type Fence struct {
	highest atomic.Uint64
}

// Admit returns ErrStaleEpoch for an epoch lower than the highest admitted. The
// receiver must execute the check and the order atomically: an order that is admitted
// and then delayed may be overtaken by one with a higher epoch.
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

// Highest returns the highest epoch admitted, which is reported to a refused leader.
func (f *Fence) Highest() uint64 { return f.highest.Load() }
