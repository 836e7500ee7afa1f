package scheduler

// WaitReason says why a job has not started. Exactly one holds for a job that
// waits.
type WaitReason uint8

const (
	// WaitNone means that the job does not wait: an attempt of it exists.
	WaitNone WaitReason = iota
	// WaitFitsNow means that the next decision starts it, if nothing changes
	// before.
	WaitFitsNow
	// WaitNextDecision means that a place, or room in the blocks of its account, has
	// turned up since its queue was last tried, and that a later decision tries it,
	// after others that go first.
	WaitNextDecision
	// WaitRetry means that an attempt failed or was refused, and the delay before
	// the next one is not over.
	WaitRetry
	// WaitReclaim means that capacity of its account's guarantee is set aside for
	// it and work on it is being evicted.
	WaitReclaim
	// WaitReserved means that a place is reserved for it, where work has to end.
	WaitReserved
	// WaitBehind means that another job of the same account, class and shape goes
	// first.
	WaitBehind
	// WaitSettling means that no worker known so far could hold it, and workers
	// are still announcing themselves after a change of planner.
	WaitSettling
	// WaitNoWorkers means that no worker is known.
	WaitNoWorkers
	// WaitImpossible means that it can never run as declared; it is rejected when it
	// is tried next.
	WaitImpossible
	// WaitYields means that it leaves its account's guaranteed blocks to larger
	// jobs of the account.
	WaitYields
	// WaitDegraded means that a block of its account that could hold it has no
	// place now.
	WaitDegraded
	// WaitFailedWorkers means that the only free places are on workers on which
	// it has failed.
	WaitFailedWorkers
	// WaitGuaranteed means that what is free is bound to guarantees, and the job
	// may not be evicted from there.
	WaitGuaranteed
	// WaitReservations means that what is free is reserved for larger jobs.
	WaitReservations
	// WaitOverShare means that there is no place, and that a job of an account
	// with a lower share, which fits wherever this one does, goes first.
	WaitOverShare
	// WaitNoPlace means that enough accelerators are free, but too few in any one
	// unit of the span it needs.
	WaitNoPlace
	// WaitNoCapacity means that fewer accelerators are free than it needs.
	WaitNoCapacity
	// WaitNoCores means that no worker has the cores and memory left for a job
	// without accelerators.
	WaitNoCores
)

var waitNames = [...]string{
	"not-waiting", "fits-now", "next-decision", "retry-delay", "reclaiming",
	"reserved-place", "behind-in-queue", "settling", "no-workers", "impossible",
	"yields-block", "guarantee-degraded", "failed-workers", "guaranteed-to-others",
	"reserved-for-others", "over-share", "no-adjacent-place", "no-capacity",
	"no-cores",
}

// String names the reason as reports show it.
func (r WaitReason) String() string { return waitNames[r] }
