package routing

import "time"

// Options are the settings of a Router. Zero fields take the defaults named
// beside them.
type Options struct {
	Seed uint64 // of the router's own random numbers
	Zone string // the entry's availability zone; empty means no preference

	Choices       int           // endpoints compared for one pick (DefaultChoices)
	InitialWindow int           // window of a new endpoint (its slots)
	EjectBase     time.Duration // first ejection (DefaultEjectBase)
	EjectMax      time.Duration // longest ejection (DefaultEjectMax)
	StaleAfter    time.Duration // age at which a load report counts for nothing (DefaultStaleAfter)

	RetryShare        float64 // retries per first attempt, all client accounts together (DefaultRetryShare)
	AccountRetryShare float64 // retries per first attempt of one client account (DefaultAccountRetryShare)
	RetryBurst        int     // retries allowed before any first attempt is counted (DefaultRetryBurst)
}

// Defaults of Options.
const (
	DefaultChoices           = 3
	DefaultEjectBase         = 250 * time.Millisecond
	DefaultEjectMax          = 30 * time.Second
	DefaultStaleAfter        = 500 * time.Millisecond
	DefaultRetryShare        = 0.1
	DefaultAccountRetryShare = 0.2
	DefaultRetryBurst        = 10
)

func (o Options) withDefaults() Options {
	setDefault(&o.Choices, DefaultChoices)
	setDefault(&o.EjectBase, DefaultEjectBase)
	setDefault(&o.EjectMax, DefaultEjectMax)
	setDefault(&o.StaleAfter, DefaultStaleAfter)
	setDefault(&o.RetryShare, DefaultRetryShare)
	setDefault(&o.AccountRetryShare, DefaultAccountRetryShare)
	setDefault(&o.RetryBurst, DefaultRetryBurst)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
