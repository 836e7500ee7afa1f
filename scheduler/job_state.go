package scheduler

import "time"

// job is a Job that has not ended.
type job struct {
	Job
	account        *account
	queue          *queue // nil unless it waits there
	run            *run   // nil unless an attempt exists
	claim          *claim // nil unless capacity is set aside for it
	last           Attempt
	failed         []nodeID // different workers it failed on
	failures       int
	losses         int // attempts in a row that went with a worker soon after their start
	evictions      int
	borrowingEnded bool // borrows no more, since it lost work to a claim
	notBefore      time.Time
	planAfter      time.Time // no reservation before
	delayed        int       // index in the heap of delayed jobs, or -1
	cancelled      bool
	cpuOn          *node  // set aside for it, if it needs no accelerators
	seq            uint64 // order of submission
	prev           *job   // neighbours in the queue
	next           *job
}

// run is an attempt of a job.
type run struct {
	job        *job
	attempt    Attempt
	pieces     []held
	shares     []share // the parts of guaranteed blocks it uses
	protected  bool
	state      runState
	started    time.Time
	checkpoint time.Time
	stop       StopReason
	under      *claim // reservation that the run makes way for at once, if any
}

// held is the accelerators that an attempt holds on one worker. Jobs whose need
// of cores or memory exceeds the share of an accelerator hold more of them than
// they are granted.
type held struct {
	node    nodeID
	n       int
	mask    uint64
	granted int
}

// share is the use of a piece of a guaranteed block.
type share struct {
	block *block
	part  int
	n     int
}

type runState uint8

const (
	runStarting runState = iota
	runRunning
	runStopping
)
