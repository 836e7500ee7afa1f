package routing

import "time"

// PickInfo describes the attempt that needs a target.
type PickInfo struct {
	Account  string     // client account
	Weight   float64    // of the account, relative to the mean weight of the service's accounts; 0 means 1
	Attempt  int        // 0 for the first attempt, then 1, 2, ...
	Exclude  []TargetID // targets that were tried before
	Deadline time.Time  // zero means none
	// AtMostOnce marks a request that must not run twice. It is used for the trial
	// of an ejected target only if no other target can take it.
	AtMostOnce bool
}
