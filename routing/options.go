package routing

import (
	"cmp"
	"time"
)

// Options are the settings of a Router. Zero fields take the defaults named
// beside them.
type Options struct {
	Seed uint64 // of the router's own random numbers
	Zone string // the entry's availability zone; empty means no preference

	Choices          int           // endpoints compared for one pick (DefaultChoices)
	InitialWindow    int           // window of a new endpoint (its slots)
	BaseEjectionTime time.Duration // first ejection (DefaultEjectBase)
	MaxEjectionTime  time.Duration // longest ejection (DefaultEjectMax)
	StaleAfter       time.Duration // age at which a load report counts for nothing (DefaultStaleAfter)

	RetryShare        float64 // retries per first attempt, all client accounts together (DefaultRetryShare)
	AccountRetryShare float64 // retries per first attempt of one client account (DefaultAccountRetryShare)
	RetryBurst        int     // retries allowed before any first attempt is counted (DefaultRetryBurst)
}

// Defaults of Options.
const (
	DefaultChoices           = 3
	DefaultBaseEjectionTime  = 250 * time.Millisecond
	DefaultMaxEjectionTime   = 30 * time.Second
	DefaultStaleAfter        = 500 * time.Millisecond
	DefaultRetryShare        = 0.1
	DefaultAccountRetryShare = 0.2
	DefaultRetryBurst        = 10
)

func (o Options) withDefaults() Options {
	o.Choices = cmp.Or(o.Choices, DefaultChoices)
	o.BaseEjectionTime = cmp.Or(o.BaseEjectionTime, DefaultBaseEjectionTime)
	o.MaxEjectionTime = cmp.Or(o.MaxEjectionTime, DefaultMaxEjectionTime)
	o.StaleAfter = cmp.Or(o.StaleAfter, DefaultStaleAfter)
	o.RetryShare = cmp.Or(o.RetryShare, DefaultRetryShare)
	o.AccountRetryShare = cmp.Or(o.AccountRetryShare, DefaultAccountRetryShare)
	o.RetryBurst = cmp.Or(o.RetryBurst, DefaultRetryBurst)
	return o
}
