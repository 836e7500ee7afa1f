package settings

// Policy switches and weighs the planner's mechanisms; engine.Policy says what each does.
type Policy struct {
	DeadlineOrder   bool    `toml:"deadline_order" default:"true"`
	Headroom        bool    `toml:"headroom" default:"true"`
	HeadroomShare   float64 `toml:"headroom_share" default:"1" validate:"min=0,max=1"`
	Evictions       bool    `toml:"evictions" default:"true"`
	EvictionWait    float64 `toml:"eviction_wait" default:"0" validate:"min=0,max=1"`
	EvictionWorth   float64 `toml:"eviction_worth" default:"0.5" validate:"min=0,max=1000"`
	Reservations    int     `toml:"reservations" default:"4" validate:"min=0,max=64"`
	RackPreference  bool    `toml:"rack_preference" default:"true"`
	LearnedRunTimes bool    `toml:"learned_run_times" default:"true"`
	WorkerHealth    bool    `toml:"worker_health" default:"true"`
	Avoidance       bool    `toml:"avoidance" default:"true"`
	StandingStill   bool    `toml:"standing_still" default:"true"`
	DrainMoves      bool    `toml:"drain_moves" default:"true"`
	KeptCheckpoints bool    `toml:"kept_checkpoints" default:"true"`
}
