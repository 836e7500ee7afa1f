package routing

import "time"

// RefusalReason is why Pick found no target. The zero value means that it found
// one.
type RefusalReason int

// Reasons of a Refusal.
const (
	NotRefused       RefusalReason = iota
	NoTargets                      // no target is available that is not excluded
	AllSaturated                   // the windows of all available targets are full
	AccountOverShare               // the client account has its share of the windows in flight
	DeadlineExceeded               // the deadline has passed
)

var refusalReasonNames = [...]string{"accepted", "no targets", "all saturated", "account over share", "deadline exceeded"}

// String returns the reason in lower case.
func (r RefusalReason) String() string { return refusalReasonNames[r] }

// Refusal is the result of a Pick that found no target. The request has not run
// and may be sent again after RetryAfter, which is zero for DeadlineExceeded.
type Refusal struct {
	Reason     RefusalReason
	RetryAfter time.Duration
}

// OK reports whether Pick found a target.
func (r Refusal) OK() bool { return r.Reason == NotRefused }
