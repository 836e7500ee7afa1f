package admission

import "cmp"

// Options are the settings of a Queue. Zero fields take the defaults named
// beside them.
type Options struct {
	Slots               int // requests that run at the same time (1)
	MaxQueued           int // requests queued in all (DefaultMaxQueued)
	MaxQueuedPerAccount int // requests queued for one client account (DefaultMaxAccount)
	MaxServiceTimes     int // learned costs kept, least recently used dropped first (DefaultMaxCosts)

	// TargetSojourn is the sojourn time aimed at, as a multiple of the learned service
	// time (DefaultTarget); CongestionInterval is how many target times of congestion are
	// lasting (DefaultInterval).
	TargetSojourn, CongestionInterval float64
	CongestionControl                 CongestionControl // what congestion leads to (TwoPhase)
}

// CongestionControl selects what congestion leads to.
type CongestionControl int

// Ways of congestion control.
const (
	MarkAndShed CongestionControl = iota // mark in early congestion, shed in lasting
	ShedOnly
	NoControl
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
