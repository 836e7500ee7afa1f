package routing

import "time"

// RefusalReason says why Pick found no target. Zero means that it found one.
type RefusalReason int

// Reasons of a Refusal.
const (
	NotRefused       RefusalReason = iota
	NoTargets                      // no target is known, open and not excluded
	AllSaturated                   // every usable target's window is full
	AccountOverShare               // the client account holds its share of the windows already
	DeadlineExceeded               // the deadline has passed
)

var refusalReasonNames = [...]string{"accepted", "no targets", "all saturated", "over share", "too late"}

func (r RefusalReason) String() string { return refusalReasonNames[r] }

// Refusal is the answer of a Pick that found no target: the request has not
// run, and may be offered again after RetryAfter.
type Refusal struct {
	Reason     RefusalReason
	RetryAfter time.Duration
}

// OK reports whether the pick succeeded.
func (r Refusal) OK() bool { return r.Reason == NotRefused }
