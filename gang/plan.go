package gang

import (
	"cmp"
	"time"
)

// Plan is one attempt to start one job. The job's record holds it without the
// Specs, so that a successor can resolve the attempt.
type Plan struct {
	ID      ID              `cbor:"1,keyasint"`
	Members []PlannedMember `cbor:"2,keyasint"`
}

// PlannedMember is one member of a plan.
type PlannedMember struct {
	Agent string `cbor:"1,keyasint"`
	// Incarnation is the incarnation that the agent last reported.
	Incarnation  uint64 `cbor:"2,keyasint"`
	Accelerators []int  `cbor:"3,keyasint"`
	Spec         []byte `cbor:"4,keyasint,omitempty"`
}

// Config configures a Coordinator.
type Config struct {
	// Epoch is the fencing epoch of the planner that runs the coordinator.
	Epoch uint64
	// ResendInterval is how long a reply is awaited before a message is sent
	// again.
	ResendInterval time.Duration
	// HoldTimeout is how long members hold a reservation. An attempt is
	// aborted unless all members are reserved and the start is recorded within
	// three quarters of it.
	HoldTimeout time.Duration
	// LivenessWindow is how long ago a member may last have been known to run
	// for it to count as alive. It must be longer than two report intervals.
	LivenessWindow time.Duration
	// FenceWait is the sum of LivenessWindow, MemberConfig.IsolationTimeout,
	// the longest time in which a task stops and the longest delay of a
	// report. A successor that has lost a member waits this long after it
	// first fenced another one.
	FenceWait time.Duration
	// StartTimeout is how long starting all members may take. Together with
	// the longest delay of a message it must be shorter than
	// MemberConfig.IsolationTimeout. Zero means LivenessWindow.
	StartTimeout time.Duration
	// RetainSucceeded leaves ended tasks unacknowledged when all of them have
	// succeeded, so that agents keep reporting them. It is for attempts that
	// no record names: a successor learns the outcome from these reports until
	// it is recorded. OrphanStop acknowledges them afterwards.
	RetainSucceeded bool
}

func (c Config) startTimeout() time.Duration {
	return cmp.Or(c.StartTimeout, c.LivenessWindow)
}
