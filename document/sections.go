package document

import "github.com/eelgrasshub/eelgrasshub/document/schema"

// Admission bounds what waits, and says from which delay on an agent sheds.
type Admission struct {
	MaxQueued int `toml:"max_queued" default:"256" validate:"min=1,max=100000" unit:"requests per agent"`
	MaxJobs   int `toml:"max_jobs" default:"10000" validate:"min=0,max=100000" unit:"jobs"`
	// TargetSojourn is the wait aimed at. It follows the service time: a fixed one
	// would call a service of slow requests congested whenever one waits.
	TargetSojourn float64 `toml:"target_sojourn" default:"2" validate:"min=0.5,max=100" unit:"times the learned service time"`
	// Interval is from when on congestion counts as lasting and is shed.
	Interval float64 `toml:"interval" default:"10" validate:"min=1,max=1000" unit:"times the target sojourn"`
}

// Routing is how an entry chooses a target and when it tries another.
type Routing struct {
	RetryShare  float64 `toml:"retry_share" default:"0.1" validate:"min=0,max=1" unit:"retries per first attempt"`
	RetryBurst  int     `toml:"retry_burst" default:"10" validate:"min=0,max=1000" unit:"retries"`
	MaxInFlight int     `toml:"max_in_flight" default:"64" validate:"min=1,max=10000" unit:"requests per target and entry"`
}

// Gang is the timing of the reserve, start and abort of jobs on several
// accelerators.
type Gang struct {
	// HoldTimeout ends a reservation that was neither started nor aborted.
	HoldTimeout schema.Duration `toml:"hold_timeout" default:"5s" validate:"min=250ms,max=60s"`
	// IsolationTimeout is how long a member runs on without hearing from the
	// gang's coordinator before it stops by itself.
	IsolationTimeout schema.Duration `toml:"isolation_timeout" default:"10s" validate:"min=500ms,max=10m"`
	// LossTimeout is how long the coordinator hears nothing from a member
	// before it declares it lost and the gang may start elsewhere. It must be
	// above IsolationTimeout by minLossMargin: otherwise a member that is cut off
	// still runs while its replacement starts.
	LossTimeout schema.Duration `toml:"loss_timeout" default:"20s" validate:"min=1s,max=20m"`
}

// Health says when a worker is taken out because what it starts fails.
type Health struct {
	FailureThreshold  int             `toml:"failure_threshold" default:"3" validate:"min=1,max=100" unit:"different jobs in a row"`
	Quarantine        schema.Duration `toml:"quarantine" default:"5m" validate:"min=1s,max=24h"`
	JobFailureWorkers int             `toml:"job_failure_workers" default:"3" validate:"min=1,max=100" unit:"workers"`
}
