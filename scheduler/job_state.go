package scheduler

import "time"

// job is a Job that has not ended.
type job struct {
	Job
	account        *account
	queue          *queue // nil unless it waits there
	run            *run   // nil unless an attempt exists
	claim          *claim // nil unless capacity is set aside for it
	lastAttempt    Attempt
	failedNodes    []nodeID // different workers it failed on
	failures       int
	earlyLosses    int // attempts in a row that went with a worker soon after their start
	evictions      int
	borrowingEnded bool // borrows no more, since it lost work to a claim
	notBefore      time.Time
	noPlanBefore   time.Time // no reservation before
	delayIndex     int       // index in the heap of delayed jobs, or -1
	cancelled      bool
	cpuNode        *node  // set aside for it, if it needs no accelerators
	seq            uint64 // order of submission
	prev           *job   // neighbours in the queue
	next           *job
}

// run is an attempt of a job.
type run struct {
	job            *job
	attempt        Attempt
	held           []heldAllocation
	blockUses      []blockUse // the parts of guaranteed blocks it uses
	protected      bool
	state          runState
	started        time.Time
	lastCheckpoint time.Time
	stopReason     StopReason
	backfilled     *claim // reservation that the run makes way for at once, if any
}

// heldAllocation is the accelerators that an attempt holds on one worker. Jobs whose need
// of cores or memory exceeds the share of an accelerator hold more of them than
// they are granted.
type heldAllocation struct {
	node    nodeID
	count   int
	mask    uint64
	granted int
}

// blockUse is the use of a piece of a guaranteed block.
type blockUse struct {
	block *block
	part  int
	count int
}

type runState uint8

const (
	runStarting runState = iota
	runRunning
	runStopping
)
