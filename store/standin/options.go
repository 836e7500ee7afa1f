package standin

import "time"

// Defaults of Options.
const (
	DefaultProgress = time.Second
	DefaultHistory  = 100_000
	DefaultTick     = 50 * time.Millisecond
)

// Options of a Server. The zero value is usable.
type Options struct {
	// Now drives leases. With nil, the system's clock does, and leases lapse by
	// themselves; otherwise they lapse at the next call or Expire.
	Now func() time.Time
	// Progress is the time between progress notices of a quiet watch.
	Progress time.Duration
	// History is how many changes are kept for watches and reads of older
	// revisions; beyond it the oldest are compacted.
	History int
}

func (o Options) withDefaults() Options {
	if o.Progress <= 0 {
		o.Progress = DefaultProgress
	}
	if o.History <= 0 {
		o.History = DefaultHistory
	}
	return o
}
