package document

import "github.com/eelgrasshub/eelgrasshub/document/schema"

// Kind distinguishes quick requests, which are answered while the caller waits, from jobs,
// which are queued and run on accelerators.
type Kind string

// Kinds of work.
const (
	Quick Kind = "quick"
	Job   Kind = "job"
)

// Class is how one kind of the service's work is treated.
type Class struct {
	Name     string `toml:"name" validate:"required,name"`
	Kind     Kind   `toml:"kind" validate:"required,oneof=quick job"`
	Priority int    `toml:"priority" default:"5" validate:"min=0,max=9" unit:"(9 is served first)"`
	Urgent   bool   `toml:"urgent" default:"false"`

	// Deadline is the time allowed from acceptance to the complete answer. It is the
	// default, and the upper limit, of the deadline that a caller gives.
	Deadline schema.Duration `toml:"deadline" default:"10s (quick), 24h (job)" derived:"kind" validate:"min=10ms,max=168h"`

	// Repeatable applies to work that the caller does not mark; work that is not
	// repeatable runs at most once.
	Repeatable bool `toml:"repeatable" default:"false"`
	// Retries limits the attempts that follow one that may have run. An attempt that
	// certainly did not run is retried regardless.
	Retries int `toml:"retries" default:"1 where repeatable, else 0" derived:"repeatable" validate:"min=0,max=5" unit:"attempts"`

	// The remaining fields apply to jobs only.

	Checkpointable bool `toml:"checkpointable" default:"false"`
	// MayBorrow lets the job run on capacity that is guaranteed to another account, from
	// which it is evicted when that account claims it. Otherwise the job is limited to its
	// own account's guarantee and to capacity that no guarantee covers.
	MayBorrow bool            `toml:"may_borrow" default:"true where repeatable or checkpointable, else false" derived:"repeatable"`
	MaxRun    schema.Duration `toml:"max_run" default:"4h" validate:"min=1s,max=168h"`
}

const (
	defaultQuickDeadline     = 10 // seconds
	defaultJobDeadline       = 24 * 60 * 60
	defaultRepeatableRetries = 1
)

// fillDerivedDefaults sets the keys whose default depends on another key. isSet reports
// whether the document sets a key.
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
