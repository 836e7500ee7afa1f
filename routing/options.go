package routing

import (
	"cmp"
	"time"
)

// Options are the settings of a Router. A zero field takes the default named in
// parentheses.
type Options struct {
	Seed uint64 // seeds random choices and the hash of client accounts
	Zone string // the entry's availability zone; empty means no preference

	Choices          int           // endpoints compared for one pick (DefaultChoices)
	InitialWindow    int           // window of a new endpoint (the target's slots)
	BaseEjectionTime time.Duration // duration of the first ejection (DefaultBaseEjectionTime)
	MaxEjectionTime  time.Duration // longest ejection (DefaultMaxEjectionTime)
	StaleAfter       time.Duration // age from which a load report is ignored (DefaultStaleAfter)

	RetryShare        float64 // retries per first attempt, of all client accounts together (DefaultRetryShare)
	AccountRetryShare float64 // retries per first attempt of one client account (DefaultAccountRetryShare)
	RetryBurst        int     // most retries that a budget holds, and what it starts with (DefaultRetryBurst)
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
