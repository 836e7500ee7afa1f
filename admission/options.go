package admission

import "cmp"

// Options are the settings of a Queue. Zero fields take the defaults named
// beside them.
type Options struct {
	Slots      int // requests that run at the same time (1)
	MaxQueued  int // requests queued in all (DefaultMaxQueued)
	MaxAccount int // requests queued for one client account (DefaultMaxAccount)
	MaxCosts   int // learned costs kept, least recently used dropped first (DefaultMaxCosts)

	// Target is the sojourn time aimed at, as a multiple of the learned service
	// time (DefaultTarget); Interval is how many target times of congestion are
	// lasting (DefaultInterval).
	Target, Interval float64
	Control          Control // what congestion leads to (TwoPhase)
}

// Control selects what congestion leads to.
type Control int

// Ways of congestion control.
const (
	TwoPhase Control = iota // mark in early congestion, shed in lasting
	ShedOnly
	NoControl
)

// Defaults of Options.
const (
	DefaultMaxQueued  = 1024
	DefaultMaxAccount = 256
	DefaultMaxCosts   = 256
	DefaultTarget     = 2
	DefaultInterval   = 10
)

func (o Options) withDefaults() Options {
	o.Slots = cmp.Or(o.Slots, 1)
	o.MaxQueued = cmp.Or(o.MaxQueued, DefaultMaxQueued)
	o.MaxAccount = cmp.Or(o.MaxAccount, DefaultMaxAccount)
	o.MaxCosts = cmp.Or(o.MaxCosts, DefaultMaxCosts)
	o.Target = cmp.Or(o.Target, DefaultTarget)
	o.Interval = cmp.Or(o.Interval, DefaultInterval)
	return o
}
