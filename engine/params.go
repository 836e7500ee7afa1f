package engine

import "time"

// Params are the limits and the policy of a deployment.
type Params struct {
	// MaxLease is the longest lease that a worker grants to its runs.
	MaxLease time.Duration
	// StopTime is how long a stopped task may take to end.
	StopTime time.Duration
	// RemoteSlowdown is the factor by which the run time of a task grows away from its data,
	// and that of a gang spread over several racks.
	RemoteSlowdown float64
	// RestoreTime is the cost of resuming from a checkpoint.
	RestoreTime time.Duration
	// MaxReclaimWait is how long a job within its account's guarantee may wait for its
	// accelerators.
	MaxReclaimWait time.Duration
	// MaxLatencyViolation is how long a best-effort task may keep a latency-sensitive neighbour
	// over its tail-latency target.
	MaxLatencyViolation time.Duration
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
	Policy    Policy
}

const (
	// clockDriftFactor is the largest ratio of real time to the time measured by a slow worker clock.
	clockDriftFactor = 1.03
	// leaseExpirySlack covers the time an agent takes to handle the answer that grants a lease.
	leaseExpirySlack = 150 * time.Millisecond
	// reportTimeout is the time without reports after which a worker gets no new tasks. Agents
	// report at least every half second.
	reportTimeout = 1200 * time.Millisecond
	// stopRetryInterval is the time after which an unconfirmed stop order is sent again.
	stopRetryInterval = 700 * time.Millisecond
	// retentionSlack is added to Params.Retention.
	retentionSlack = 30 * time.Second
)

// WithClockDrift returns the longest real time that a lease with the given remaining time may
// last on a worker whose clock runs slow. An expired lease is returned as it is.
func WithClockDrift(remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return remaining
	}
	return time.Duration(float64(remaining) * clockDriftFactor)
}

// withoutClockDrift returns the shortest time that a slow clock may show while d passes.
func withoutClockDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) / clockDriftFactor)
}

// leaseExpiry returns the time by which a lease granted now has certainly expired.
func (p Params) leaseExpiry(now time.Duration) time.Duration {
	return now + WithClockDrift(p.MaxLease) + leaseExpirySlack
}
