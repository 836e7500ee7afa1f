package scheduler

// RejectReason states why a job ended without finishing.
type RejectReason uint8

const (
	// RejectTooLarge means that the job asks for more than the whole topology
	// has or, if it may not borrow, more than is not guaranteed to others.
	RejectTooLarge RejectReason = iota
	// RejectAdjacency means that no unit of the job's span is large enough.
	RejectAdjacency
	// RejectWorkerSize means that no worker has the cores or memory that the
	// job needs.
	RejectWorkerSize
	// RejectQueueFull means that the account already has MaxQueued jobs waiting.
	RejectQueueFull
	// RejectUnknownAccount means that the active policy has no such account.
	RejectUnknownAccount
	// RejectInvalid means that a field of the job is out of range.
	RejectInvalid
	// RejectFaulty means that the job failed on several healthy workers, or too
	// often.
	RejectFaulty
	// RejectNotRepeatable means that an attempt failed or was lost and the job
	// must not run twice.
	RejectNotRepeatable
	// RejectCancelled means that the job was withdrawn.
	RejectCancelled
)

var rejectNames = [...]string{
	"too large", "adjacency", "worker size", "queue full", "unknown account",
	"invalid", "faulty", "not repeatable", "cancelled",
}

// String returns the name of the reason.
func (r RejectReason) String() string { return rejectNames[r] }

// StopReason states why an attempt is stopped.
type StopReason uint8

const (
	// StopReclaim means that the attempt is evicted for a guarantee or a
	// reservation.
	StopReclaim StopReason = iota
	// StopCancelled means that the job was withdrawn.
	StopCancelled
	// StopWorkerLost means that a member of the gang was lost.
	StopWorkerLost
	// StopConflict means that a restored attempt overlaps another one.
	StopConflict
)

var stopNames = [...]string{"reclaim", "cancelled", "worker lost", "conflict"}

// String returns the name of the reason.
func (r StopReason) String() string { return stopNames[r] }
