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

// Plan is the content of a workload file.
type Plan struct {
	Name    string `toml:"name"`
	Service string `toml:"service"`
	// Seed is the seed of all random draws of the schedule.
	Seed uint64 `toml:"seed"`
	// Duration is the period in which arrivals are scheduled.
	Duration Duration `toml:"duration"`
	// DrainTimeout is how long to wait for outcomes after Duration.
	DrainTimeout      Duration           `toml:"drain"`
	Quick             []QuickLoad        `toml:"quick"`
	Jobs              []JobLoad          `toml:"job"`
	Bursts            []Burst            `toml:"burst"`
	BulkCancellations []BulkCancellation `toml:"cancel_wave"`
}

// QuickLoad describes a stream of quick requests of one client account and class.
type QuickLoad struct {
	Account string `toml:"account"`
	Class   string `toml:"class"`
	// Rate is the mean number of arrivals per second.
	Rate     float64  `toml:"rate"`
	Deadline Duration `toml:"deadline"`
	// ServiceTime is the time that the target works on a request.
	ServiceTime LogNormal `toml:"work"`
	// ResponsePadding is the number of padding bytes in the response.
	ResponsePadding int `toml:"pad"`
	// Repeatable must match the class in the service document; the audit relies on it. It is
	// also sent as a request header.
	Repeatable bool `toml:"repeatable"`
	// ResendShare is the share of requests, from 0 to 1, that the caller sends a second time
	// through another entry, with the same idempotency key, while the first is in progress.
	ResendShare float64 `toml:"resent"`
}

// JobLoad describes a stream of jobs of one client account and class.
type JobLoad struct {
	Account string     `toml:"account"`
	Class   string     `toml:"class"`
	Rate    float64    `toml:"rate"`
	Sizes   []GangSize `toml:"sizes"`
	// RunTime is the actual run time of a job.
	RunTime LogNormal `toml:"run"`
	// EstimateErrorFactor is the largest factor by which a declared run time is too high or too
	// low. With 1 the declared time is exact; with 0 none is declared.
	EstimateErrorFactor float64 `toml:"misdeclared"`
	Repeatable          bool    `toml:"repeatable"`
	// CheckpointInterval is the time between checkpoints; 0 disables them.
	CheckpointInterval Duration `toml:"checkpoint_every"`
	// FailureShare is the share of jobs, from 0 to 1, that fail on their own.
	FailureShare float64 `toml:"failing"`
	// ResendShare is the share of jobs, from 0 to 1, that are submitted a second time through
	// another entry.
	ResendShare float64 `toml:"resent"`
}

// GangSize is one size of gang and its relative frequency.
type GangSize struct {
	Accelerators int           `toml:"accelerators"`
	Adjacency    api.Adjacency `toml:"adjacency"`
	Weight       float64       `toml:"weight"`
}

// LogNormal is a log-normal distribution of durations, capped at Max.
type LogNormal struct {
	Median Duration `toml:"median"`
	// Sigma is the standard deviation of the logarithm; with 0 every draw is Median.
	Sigma float64  `toml:"sigma"`
	Max   Duration `toml:"max"`
}

// ArrivalKind selects the arrivals that a burst multiplies.
type ArrivalKind string

// Valid values of ArrivalKind.
const (
	KindQuick ArrivalKind = "quick"
	KindJob   ArrivalKind = "job"
)

// Burst multiplies the rate of one kind of arrival for a period.
type Burst struct {
	Kind   ArrivalKind `toml:"kind"`
	At     Duration    `toml:"at"`
	Length Duration    `toml:"length"`
	Factor float64     `toml:"factor"`
	// Account limits the burst to one client account; empty means all accounts.
	Account string `toml:"account"`
}

// BulkCancellation cancels, at a point in time, a share of the jobs that have not ended. An
// empty Account selects those of all accounts.
type BulkCancellation struct {
	At      Duration `toml:"at"`
	Share   float64  `toml:"share"`
	Account string   `toml:"account"`
}
