package engine

// Policy switches and tunes the engine's heuristics. Guarantees to callers (capacity, leases,
// account guarantees, at most one run of a task) do not depend on it. The zero value stands for
// DefaultPolicy. The tags are those of the settings; their defaults equal DefaultPolicy.
//
// See docs/design/decisions.md.
type Policy struct {
	// DeadlineOrder orders units of the same priority by the latest start that meets their
	// job's objective; without it they are ordered by acceptance.
	DeadlineOrder bool `toml:"deadline_order" default:"true"`
	// LateOrder orders units that miss their objective by the latest start that is of use, lets a
	// few of them go first shortly before it, lets the account that uses less go first among units
	// that rank equally, and puts units of jobs that can't be of use any more last. Without it, or
	// without DeadlineOrder, units that miss their objective are ordered by acceptance.
	LateOrder bool `toml:"late_order" default:"true"`
	// Headroom keeps capacity on some racks free of work that can wait, so that urgent jobs
	// need not wait for evictions. HeadroomShare, from 0 to 1, is the quantile of recent urgent
	// job sizes that is kept free; 1 stands for the largest.
	Headroom      bool    `toml:"headroom" default:"true"`
	HeadroomShare float64 `toml:"headroom_share" default:"1" validate:"min=0,max=1"`
	// Evictions stops lower-priority work for urgent jobs; without it, work is evicted only to
	// honour an account's guarantee.
	Evictions bool `toml:"evictions" default:"true"`
	// EvictionWaitShare, from 0 to 1, is the share of an urgent job's slack for which it waits for
	// capacity that is expected to become free. It always waits at least as long as a stop
	// takes.
	EvictionWaitShare float64 `toml:"eviction_wait" default:"0" validate:"min=0,max=1"`
	// EvictionCostFactor is how many core-seconds of other work an urgent unit may discard for each
	// of its own, since discarded work needs capacity again.
	EvictionCostFactor float64 `toml:"eviction_worth" default:"3" validate:"min=0,max=1000"`
	// Reservations is the number of waiting units for which capacity is reserved in a round.
	// This keeps large gangs from starving behind small tasks. Each costs a simulation of the
	// expected releases.
	Reservations int `toml:"reservations" default:"4" validate:"min=0,max=64"`
	// RackPreference places a unit on the rack of its data, and a gang on one rack, unless
	// waiting for that takes longer than running elsewhere; without it, any worker is as good.
	RackPreference bool `toml:"rack_preference" default:"true"`
	// LearnedRunTimes estimates run times from the declared ones and from past runs of the same
	// queue (see package runtimes); without it, the declared run times are used.
	LearnedRunTimes bool `toml:"learned_run_times" default:"true"`
	// WorkerSpeeds learns which workers are slow (see package workerspeed) and chooses workers by
	// that; without it, all workers count as equally fast.
	WorkerSpeeds bool `toml:"worker_speeds" default:"true"`
	// WorkerHealth keeps new work away from workers on which starts keep failing.
	WorkerHealth bool `toml:"worker_health" default:"true"`
	// AvoidFailedWorkers keeps a unit away for a while from a worker where it failed, so that one bad
	// worker does not use up all attempts of a job.
	AvoidFailedWorkers bool `toml:"avoidance" default:"true"`
	// MoveStuckTasks moves tasks that report no progress.
	MoveStuckTasks bool `toml:"standing_still" default:"true"`
	// DrainMoves stops runs early that can't end before their draining worker leaves.
	DrainMoves bool `toml:"drain_moves" default:"true"`
	// Probation retries a task that may have crashed its worker where nothing else has just
	// started, and starts nothing next to it until it is past startup; without it, tasks that share
	// workers with a crashing task may be given up with it.
	Probation bool `toml:"probation" default:"true"`
	// StoreCheckpoints stores the checkpoints of running work.
	StoreCheckpoints bool `toml:"kept_checkpoints" default:"true"`
}

// DefaultPolicy returns the policy that applies unless the settings override it.
func DefaultPolicy() Policy {
	return Policy{
		DeadlineOrder:      true,
		LateOrder:          true,
		Headroom:           true,
		HeadroomShare:      1,
		Evictions:          true,
		EvictionWaitShare:  0,
		EvictionCostFactor: 3,
		Reservations:       4,
		RackPreference:     true,
		LearnedRunTimes:    true,
		WorkerSpeeds:       true,
		WorkerHealth:       true,
		AvoidFailedWorkers: true,
		MoveStuckTasks:     true,
		DrainMoves:         true,
		Probation:          true,
		StoreCheckpoints:   true,
	}
}
