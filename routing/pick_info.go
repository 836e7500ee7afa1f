package routing

import "time"

// PickInfo describes the attempt that needs a target.
type PickInfo struct {
	Account  string     // client account
	Weight   float64    // of the account, over the mean weight of the service's accounts; 0 means 1
	Attempt  int        // 0 for the first attempt, then 1, 2, ...
	Exclude  []TargetID // targets tried before
	Deadline time.Time  // zero means none
	// AtMostOnce marks a request that must not run twice. It is never used to try
	// out an ejected target while another target is open.
	AtMostOnce bool
}
