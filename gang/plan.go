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
	// Incarnation is the agent's as it last reported.
	Incarnation  uint64 `cbor:"2,keyasint"`
	Accelerators []int  `cbor:"3,keyasint"`
	Spec         []byte `cbor:"4,keyasint,omitempty"`
}

// Config is the fixed part of a Coordinator.
type Config struct {
	// Epoch is the fencing epoch of the planner that runs the coordinator.
	Epoch uint64
	// ResendInterval is how long an answer is awaited before the message is sent again.
	ResendInterval time.Duration
	// HoldTimeout is how long members hold a reservation. All must be reserved and the
	// start recorded within three quarters of it, or the attempt is given up.
	HoldTimeout time.Duration
	// LivenessWindow is how old the last sign of life of a member may be for the gang to
	// count as whole. It must be above two periods of the reports.
	LivenessWindow time.Duration
	// SettleTime is the sum of Window, MemberConfig.Isolation, the longest stop of a
	// task and the longest delay of a report. A successor that has lost a member
	// waits this long after it has fenced another one.
	SettleTime time.Duration
	// StartTimeout is how long starting all members may take. With the longest
	// delay of a message added it must be below MemberConfig.Isolation. Zero means
	// Window.
	StartTimeout time.Duration
	// RetainSucceeded leaves the members' accounts open when all tasks have succeeded, so
	// that reports go on listing them. It is for attempts that no record names: a
	// successor finds the end of the job there until it is on record. Orphan closes
	// them afterwards.
	RetainSucceeded bool
}

func (c Config) startTimeout() time.Duration {
	return cmp.Or(c.StartTimeout, c.LivenessWindow)
}
