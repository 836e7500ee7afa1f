package admission

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
	setDefault(&o.Slots, 1)
	setDefault(&o.MaxQueued, DefaultMaxQueued)
	setDefault(&o.MaxAccount, DefaultMaxAccount)
	setDefault(&o.MaxCosts, DefaultMaxCosts)
	setDefault(&o.Target, DefaultTarget)
	setDefault(&o.Interval, DefaultInterval)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
