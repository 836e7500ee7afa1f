package load

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/api"
)

// Duration is a time.Duration written as a Go duration ("250ms") in TOML.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Plan is a workload file.
type Plan struct {
	Name    string `toml:"name"`
	Service string `toml:"service"`
	// Seed fixes the schedule.
	Seed uint64 `toml:"seed"`
	// Duration is the time over which arrivals are scheduled.
	Duration Duration `toml:"duration"`
	// DrainTimeout is how long after that outcomes are waited for.
	DrainTimeout      Duration           `toml:"drain"`
	Quick             []QuickLoad        `toml:"quick"`
	Jobs              []JobLoad          `toml:"job"`
	Bursts            []Burst            `toml:"burst"`
	BulkCancellations []BulkCancellation `toml:"cancel_wave"`
}

// QuickLoad is a stream of quick requests of one client account and class.
type QuickLoad struct {
	Account string `toml:"account"`
	Class   string `toml:"class"`
	// Rate is the mean number of arrivals per second.
	Rate     float64  `toml:"rate"`
	Deadline Duration `toml:"deadline"`
	// ServiceTime is the service time at the target.
	ServiceTime LogNormal `toml:"work"`
	// ResponsePadding is the size of the answer's filling in bytes.
	ResponsePadding int `toml:"pad"`
	// Repeatable says what the service document says of the class; the audit
	// holds the system to it. The header is sent as well.
	Repeatable bool `toml:"repeatable"`
	// ResendShare is the share of requests that the caller sends once more through
	// another entry, with the same idempotency key, while the first still runs.
	ResendShare float64 `toml:"resent"`
}

// JobLoad is a stream of jobs of one client account and class.
type JobLoad struct {
	Account string     `toml:"account"`
	Class   string     `toml:"class"`
	Rate    float64    `toml:"rate"`
	Sizes   []GangSize `toml:"sizes"`
	// RunTime is the true run time.
	RunTime LogNormal `toml:"run"`
	// EstimateErrorFactor is the factor by which a declared run time is wrong at most,
	// either way; 1 declares the truth and 0 declares nothing.
	EstimateErrorFactor float64 `toml:"misdeclared"`
	Repeatable          bool    `toml:"repeatable"`
	// CheckpointInterval is the time between checkpoints; 0 for none.
	CheckpointInterval Duration `toml:"checkpoint_every"`
	// FailureShare is the share of jobs that fail by themselves.
	FailureShare float64 `toml:"failing"`
	// ResendShare is the share of jobs submitted once more through another entry.
	ResendShare float64 `toml:"resent"`
}

// GangSize is one size of gang and how often it is drawn.
type GangSize struct {
	Accelerators int           `toml:"accelerators"`
	Adjacency    api.Adjacency `toml:"adjacency"`
	Weight       float64       `toml:"weight"`
}

// LogNormal is a heavy-tailed distribution of durations.
type LogNormal struct {
	Median Duration `toml:"median"`
	// Sigma is the standard deviation of the logarithm; 0 always draws Median.
	Sigma float64  `toml:"sigma"`
	Max   Duration `toml:"max"`
}

// ArrivalKind is what a burst multiplies.
type ArrivalKind string

// Kinds of arrivals.
const (
	KindQuick ArrivalKind = "quick"
	KindJob   ArrivalKind = "job"
)

// Burst multiplies the rate of a kind of arrivals for a time.
type Burst struct {
	Kind   ArrivalKind `toml:"kind"`
	At     Duration    `toml:"at"`
	Length Duration    `toml:"length"`
	Factor float64     `toml:"factor"`
	// Account limits the burst to one client account; empty means all.
	Account string `toml:"account"`
}

// BulkCancellation cancels a share of the jobs that have not ended at that time.
type BulkCancellation struct {
	At      Duration `toml:"at"`
	Share   float64  `toml:"share"`
	Account string   `toml:"account"`
}
