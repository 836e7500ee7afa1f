package scheduler

import "time"

// job is the state of a job that has not ended.
type job struct {
	Job
	account        *account
	queue          *queue   // nil unless the job waits in a queue
	run            *run     // nil unless an attempt exists
	claim          *claim   // nil unless capacity is set aside for the job
	lastAttempt    Attempt  // highest attempt number used
	failedNodes    []nodeID // different workers on which the job failed, at most maxFailedNodes
	failures       int
	earlyLosses    int // attempts in a row that were lost with a worker soon after their start
	startFailures  int // attempts that a worker did not start
	evictions      int
	borrowingEnded bool      // the job lost work to a claim and may not borrow now
	notBefore      time.Time // end of the delay before the job is queued again
	noPlanBefore   time.Time // earliest time of a reservation
	delayIndex     int       // index in the heap of delayed jobs, or -1
	cancelled      bool
	cpuNode        *node  // worker reserved for a job without accelerators
	seq            uint64 // order of submission
	prev           *job   // adjacent jobs in the queue
	next           *job
}

// run is one attempt of a job.
type run struct {
	job            *job
	attempt        Attempt
	held           []heldAllocation
	blockUses      []blockUse // parts of blocks that the attempt uses, or empty outside blocks
	protected      bool       // may not be evicted
	state          runState
	started        time.Time
	lastCheckpoint time.Time
	stopReason     StopReason
	backfilled     *claim // reservation whose capacity the attempt uses until the rest is free, or nil
}

// heldAllocation is the accelerators that an attempt holds on one worker. A job
// whose footprint is above 1 holds more of them than it is granted.
type heldAllocation struct {
	node    nodeID
	count   int
	mask    uint64 // bit per accelerator held
	granted int    // accelerators granted to the job
}

// blockUse is the use of one part of a guaranteed block.
type blockUse struct {
	block *block
	part  int // index in block.parts
	count int
}

type runState uint8

const (
	runStarting runState = iota
	runRunning
	runStopping
)
