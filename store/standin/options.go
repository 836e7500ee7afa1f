package standin

import "time"

// Defaults of Options.
const (
	DefaultProgressInterval   = time.Second
	DefaultMaxHistory         = 100_000
	DefaultLeaseCheckInterval = 50 * time.Millisecond
)

// Options of a Server. The zero value is usable.
type Options struct {
	// Now drives leases. With nil, the system's clock does, and leases lapse by
	// themselves; otherwise they lapse at the next call or Expire.
	Now func() time.Time
	// ProgressInterval is the time between progress notices of a quiet watch.
	ProgressInterval time.Duration
	// MaxHistory is how many changes are kept for watches and reads of older
	// revisions; beyond it the oldest are compacted.
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
