package engine

import "time"

// Params are the bounds of a deployment.
type Params struct {
	// MaxLease is the longest lease that a worker grants what runs on it.
	MaxLease time.Duration
	// StopTime is how long a stopped task may take to end.
	StopTime time.Duration
	// RemoteSlowdown is how many times longer a task takes away from its data, or a
	// gang when spread over racks.
	RemoteSlowdown float64
	// RestoreTime is what resuming from a checkpoint costs.
	RestoreTime time.Duration
	// MaxReclaimWait is how long a guaranteed job may wait for its accelerators.
	MaxReclaimWait time.Duration
	// MaxLatencyViolation is how long a task that serves users may be over its target through what
	// fills beside it.
	MaxLatencyViolation time.Duration
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
	Policy    Policy
}

// Limits of the engine's own making.
const (
	// clockDriftFactor is how much a worker's clock may run slow, with a margin.
	clockDriftFactor = 1.03
	// leaseExpirySlack covers the time in which an agent handles the answer that grants.
	leaseExpirySlack = 150 * time.Millisecond
	// reportTimeout: an agent that was silent for so long gets no new tasks. Agents
	// report at least every half second.
	reportTimeout = 1200 * time.Millisecond
	// stopRetryInterval is when an order to stop is sent again; a worker answers within
	// milliseconds, and the end is listed within Params.StopTime.
	stopRetryInterval = 700 * time.Millisecond
	// retentionSlack is kept beyond Params.Retention.
	retentionSlack = 30 * time.Second
)

// withClockDrift returns how long a lease with that much left may last by a worker's clock that
// runs slow; what is over is over.
func withClockDrift(remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return remaining
	}
	return time.Duration(float64(remaining) * clockDriftFactor)
}

// leaseExpiry returns when a lease granted now has certainly lapsed.
func (p Params) leaseExpiry(now time.Duration) time.Duration {
	return now + withClockDrift(p.MaxLease) + leaseExpirySlack
}
