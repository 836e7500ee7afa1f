package routing

import "time"

// Query describes the attempt that needs a target.
type Query struct {
	Account  string     // client account
	Class    string     // class of the work, for later use by policies
	Attempt  int        // 0 for the first attempt, then 1, 2, ...
	Exclude  []TargetID // targets tried before
	Deadline time.Time  // zero means none
	// Once marks a request that must not run twice. It is never used to try
	// out an ejected target while another target is open.
	Once bool
}
