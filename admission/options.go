package admission

import "cmp"

// Options are the settings of a Queue. A zero field takes the default named in
// parentheses.
type Options struct {
	Slots               int // requests that run at the same time (1)
	MaxQueued           int // requests queued in total (DefaultMaxQueued)
	MaxQueuedPerAccount int // requests queued for one client account (DefaultMaxQueuedPerAccount)
	MaxServiceTimes     int // service-time averages kept, by account and class; the least recently used is evicted (DefaultMaxServiceTimes)

	// TargetSojourn is the longest desired waiting time, as a multiple of the mean
	// service time (DefaultTargetSojourn). CongestionInterval is the time after
	// which congestion counts as lasting, as a multiple of the target sojourn time
	// (DefaultCongestionInterval).
	TargetSojourn, CongestionInterval float64
	CongestionControl                 CongestionControl // reaction to congestion (MarkAndShed)
}

// CongestionControl is how the queue reacts to congestion.
type CongestionControl int

// Kinds of congestion control. The first is the default.
const (
	MarkAndShed CongestionControl = iota // mark replies in early congestion, shed requests in lasting congestion
	ShedOnly                             // only shed requests in lasting congestion
	NoControl                            // neither
)

// Defaults of Options.
const (
	DefaultMaxQueued           = 1024
	DefaultMaxQueuedPerAccount = 256
	DefaultMaxServiceTimes     = 256
	DefaultTargetSojourn       = 2
	DefaultCongestionInterval  = 10
)

func (o Options) withDefaults() Options {
	o.Slots = cmp.Or(o.Slots, 1)
	o.MaxQueued = cmp.Or(o.MaxQueued, DefaultMaxQueued)
	o.MaxQueuedPerAccount = cmp.Or(o.MaxQueuedPerAccount, DefaultMaxQueuedPerAccount)
	o.MaxServiceTimes = cmp.Or(o.MaxServiceTimes, DefaultMaxServiceTimes)
	o.TargetSojourn = cmp.Or(o.TargetSojourn, DefaultTargetSojourn)
	o.CongestionInterval = cmp.Or(o.CongestionInterval, DefaultCongestionInterval)
	return o
}
