package engine

// Policy names each mechanism of the engine that rests on judgement and not on a promise,
// with its switch or its weight. What must hold for callers (room, leases, guarantees, at
// most one run) does not depend on it. The zero value stands for DefaultPolicy. The tags are
// those of the settings that set it; their defaults are DefaultPolicy's.
//
// docs/design/decisions.md tells what each is worth and how that was measured.
type Policy struct {
	// DeadlineOrder serves the unit that has to start first for its job's objective before
	// others of its priority; off: in order of acceptance.
	DeadlineOrder bool `toml:"deadline_order" default:"true"`
	// Headroom keeps patient work away from one rack, so that urgent jobs need not wait for
	// stops. HeadroomShare is the share of the latest urgent jobs whose size is kept free,
	// 0 to 1: with 1 the largest of them.
	Headroom      bool    `toml:"headroom" default:"true"`
	HeadroomShare float64 `toml:"headroom_share" default:"1" validate:"min=0,max=1"`
	// Evictions stops work of lower priority for urgent jobs; off: only where an account's
	// guarantee asks for it.
	Evictions bool `toml:"evictions" default:"true"`
	// EvictionWait is the share of an urgent job's slack for which it waits for room that
	// is expected to become free, 0 to 1. It waits as long as a stop takes in any case.
	EvictionWait float64 `toml:"eviction_wait" default:"0" validate:"min=0,max=1"`
	// EvictionWorth is how many core-seconds of other work an urgent unit may throw away
	// for each of its own. What is thrown away has to find room again.
	EvictionWorth float64 `toml:"eviction_worth" default:"3" validate:"min=0,max=1000"`
	// Reservations is how many units that can't start now have room kept for them. Each
	// costs a simulation of all releases; the first few keep large gangs from waiting for
	// ever behind small ones.
	Reservations int `toml:"reservations" default:"4" validate:"min=0,max=64"`
	// RackPreference runs a unit on the rack of its data, and a gang on one rack, unless
	// waiting for that takes longer; off: anywhere at once.
	RackPreference bool `toml:"rack_preference" default:"true"`
	// LearnedRunTimes expects run times from what is declared and from what runs of the same
	// queue took, see package runtimes; off: from what is declared.
	LearnedRunTimes bool `toml:"learned_run_times" default:"true"`
	// WorkerHealth keeps new work away from workers that fail what they start.
	WorkerHealth bool `toml:"worker_health" default:"true"`
	// Avoidance keeps a unit away for a while from a worker where it failed, so that one
	// worker that fails everything does not use up all attempts of a job.
	Avoidance bool `toml:"avoidance" default:"true"`
	// StandingStill moves tasks that show no progress.
	StandingStill bool `toml:"standing_still" default:"true"`
	// DrainMoves stops early what can't end before its worker leaves.
	DrainMoves bool `toml:"drain_moves" default:"true"`
	// Probation tries a task that may have crashed its worker where nothing else has just
	// started, and starts nothing beside it until it is proven; off: tasks that shared a
	// worker with one that crashes them are given up with it once they meet it again.
	Probation bool `toml:"probation" default:"true"`
	// KeptCheckpoints puts checkpoints of running work on record.
	KeptCheckpoints bool `toml:"kept_checkpoints" default:"true"`
}

// DefaultPolicy returns the policy that is used unless the settings say otherwise.
func DefaultPolicy() Policy {
	return Policy{
		DeadlineOrder:   true,
		Headroom:        true,
		HeadroomShare:   1,
		Evictions:       true,
		EvictionWait:    0,
		EvictionWorth:   3,
		Reservations:    4,
		RackPreference:  true,
		LearnedRunTimes: true,
		WorkerHealth:    true,
		Avoidance:       true,
		StandingStill:   true,
		DrainMoves:      true,
		Probation:       true,
		KeptCheckpoints: true,
	}
}
