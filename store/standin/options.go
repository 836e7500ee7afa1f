package standin

import "time"

// Defaults for Options, and the interval at which expired leases are removed.
const (
	DefaultProgressInterval   = time.Second
	DefaultMaxHistory         = 100_000
	DefaultLeaseCheckInterval = 50 * time.Millisecond
)

// Options configures a Server. A zero field takes its default.
type Options struct {
	// Now is the clock for leases. If it is nil, the system clock is used and leases
	// expire by themselves; otherwise they expire at the next call or Expire.
	Now func() time.Time
	// ProgressInterval is the time between the progress notices of an idle watch.
	ProgressInterval time.Duration
	// MaxHistory is the number of changes kept for watches and for reads of older
	// revisions. Beyond it the older half is compacted.
	MaxHistory int
}

func (o Options) withDefaults() Options {
	if o.ProgressInterval <= 0 {
		o.ProgressInterval = DefaultProgressInterval
	}
	if o.MaxHistory <= 0 {
		o.MaxHistory = DefaultMaxHistory
	}
	return o
}
