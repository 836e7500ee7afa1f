package scheduler

// WaitReason states why a job has not started. Exactly one reason holds for a
// job.
type WaitReason uint8

const (
	// WaitNone means that an attempt of the job exists.
	WaitNone WaitReason = iota
	// WaitFitsNow means that the next decision starts the job, if nothing
	// changes before.
	WaitFitsNow
	// WaitNextDecision means that a place, in open capacity or in the blocks of
	// the account, may have become available since the queue was last tried. A
	// later decision tries the job, after those that precede it.
	WaitNextDecision
	// WaitRetry means that an attempt failed or was refused, and the delay
	// before the next one is not over.
	WaitRetry
	// WaitReclaim means that capacity of the account's guarantee is claimed for
	// the job and work on it is being evicted.
	WaitReclaim
	// WaitReserved means that a place is reserved for the job, where other work
	// has to end.
	WaitReserved
	// WaitBehind means that another job of the same account, class and shape
	// precedes it.
	WaitBehind
	// WaitSettling means that no known worker could hold the job, but workers
	// may still be registering after a change of planner.
	WaitSettling
	// WaitNoWorkers means that no worker is known.
	WaitNoWorkers
	// WaitImpossible means that the job can never run as declared. It is
	// rejected when it is next tried.
	WaitImpossible
	// WaitYields means that the job leaves the guaranteed blocks of its account
	// to larger jobs of the account.
	WaitYields
	// WaitDegraded means that a block of the account that could hold the job is
	// unbound now.
	WaitDegraded
	// WaitFailedWorkers means that the only free places are on workers on which
	// the job has failed.
	WaitFailedWorkers
	// WaitGuaranteed means that the free capacity is bound to guaranteed blocks
	// and the job may not borrow it.
	WaitGuaranteed
	// WaitReservations means that the free capacity is reserved for larger
	// jobs.
	WaitReservations
	// WaitOverShare means that there is no place, and that a job of an account
	// with a lower share, which fits wherever this one does, precedes it.
	WaitOverShare
	// WaitNoPlace means that enough accelerators are free, but too few in any
	// one unit of the span.
	WaitNoPlace
	// WaitNoCapacity means that fewer accelerators are free than the job needs.
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

// String returns the name of the reason in reports.
func (r WaitReason) String() string { return waitNames[r] }
