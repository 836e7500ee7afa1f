package document

import "github.com/eelgrasshub/eelgrasshub/document/schema"

// Kind tells quick requests, answered while the caller waits, from jobs, which
// are queued and run on accelerators.
type Kind string

// The kinds of work.
const (
	Quick Kind = "quick"
	Job   Kind = "job"
)

// Class is how one sort of the service's work is treated.
type Class struct {
	Name     string `toml:"name" validate:"required,name"`
	Kind     Kind   `toml:"kind" validate:"required,oneof=quick job"`
	Priority int    `toml:"priority" default:"5" validate:"min=0,max=9" unit:"(9 is served first)"`
	Urgent   bool   `toml:"urgent" default:"false"`

	// Deadline is the time allowed from acceptance to the whole answer. It
	// applies where the caller gives none; a longer one is shortened to it.
	Deadline schema.Duration `toml:"deadline" default:"10s (quick), 24h (job)" derived:"kind" validate:"min=10ms,max=168h"`

	// Repeatable is the default treatment of work that the caller does not
	// mark: false runs it at most once.
	Repeatable bool `toml:"repeatable" default:"false"`
	// Retries counts attempts after one that may have run. An attempt that was
	// proved not to have run is retried whatever this says.
	Retries int `toml:"retries" default:"1 where repeatable, else 0" derived:"repeatable" validate:"min=0,max=5" unit:"attempts"`

	// The rest holds for jobs only.

	Checkpointable bool `toml:"checkpointable" default:"false"`
	// MayBorrow lets the job run on capacity that is guaranteed to another
	// account, from which it is evicted when that account claims it. Without it
	// the job keeps to its own guarantee and to what no guarantee needs.
	MayBorrow bool            `toml:"may_borrow" default:"true where repeatable or checkpointable, else false" derived:"repeatable"`
	MaxRun    schema.Duration `toml:"max_run" default:"4h" validate:"min=1s,max=168h"`
}

const (
	defaultQuickDeadline     = 10 // seconds
	defaultJobDeadline       = 24 * 60 * 60
	defaultRepeatableRetries = 1
)

// fillDerivedDefaults sets the keys whose default depends on another key.
func (c *Class) fillDerivedDefaults(isSet func(key string) bool) {
	if !isSet("deadline") {
		c.Deadline = schema.Seconds(defaultQuickDeadline)
		if c.Kind == Job {
			c.Deadline = schema.Seconds(defaultJobDeadline)
		}
	}
	if !isSet("retries") && c.Repeatable {
		c.Retries = defaultRepeatableRetries
	}
	if !isSet("may_borrow") && c.Kind == Job {
		c.MayBorrow = c.Repeatable || c.Checkpointable
	}
}
