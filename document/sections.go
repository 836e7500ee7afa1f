package document

import "github.com/eelgrasshub/eelgrasshub/document/schema"

// Admission limits the work that waits, and sets the queueing delay above which an agent
// rejects requests.
type Admission struct {
	MaxQueued int `toml:"max_queued" default:"256" validate:"min=1,max=100000" unit:"requests per agent"`
	MaxJobs   int `toml:"max_jobs" default:"10000" validate:"min=0,max=100000" unit:"jobs"`
	// TargetSojourn is the target queueing delay, as a multiple of the learned service
	// time. A fixed delay would treat a service of slow requests as congested whenever one
	// waits.
	TargetSojourn float64 `toml:"target_sojourn" default:"2" validate:"min=0.5,max=100" unit:"times the learned service time"`
	// Interval is how long the delay must stay above the target before requests are
	// rejected.
	Interval float64 `toml:"interval" default:"10" validate:"min=1,max=1000" unit:"times the target sojourn"`
}

// Routing configures how an entry chooses a target and when it retries on another one.
type Routing struct {
	RetryShare  float64 `toml:"retry_share" default:"0.1" validate:"min=0,max=1" unit:"retries per first attempt"`
	RetryBurst  int     `toml:"retry_burst" default:"10" validate:"min=0,max=1000" unit:"retries"`
	MaxInFlight int     `toml:"max_in_flight" default:"64" validate:"min=1,max=10000" unit:"requests per target and entry"`
}

// Gang holds the timeouts for reserving, starting and aborting jobs that run on several
// accelerators.
type Gang struct {
	// HoldTimeout is the time after which a reservation that was neither started nor
	// aborted expires.
	HoldTimeout schema.Duration `toml:"hold_timeout" default:"5s" validate:"min=250ms,max=60s"`
	// IsolationTimeout is how long a member keeps running without contact to the gang's
	// coordinator before it stops itself.
	IsolationTimeout schema.Duration `toml:"isolation_timeout" default:"10s" validate:"min=500ms,max=10m"`
	// LossTimeout is the time without contact after which the coordinator declares a
	// member lost and the gang may start elsewhere. It must exceed IsolationTimeout by
	// minLossMargin; otherwise an isolated member could still run when its replacement
	// starts.
	LossTimeout schema.Duration `toml:"loss_timeout" default:"20s" validate:"min=1s,max=20m"`
}

// Health configures when a worker is quarantined because the jobs that it starts fail.
type Health struct {
	FailureThreshold  int             `toml:"failure_threshold" default:"3" validate:"min=1,max=100" unit:"different jobs in a row"`
	Quarantine        schema.Duration `toml:"quarantine" default:"5m" validate:"min=1s,max=24h"`
	JobFailureWorkers int             `toml:"job_failure_workers" default:"3" validate:"min=1,max=100" unit:"workers"`
}
