package lease

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// CandidateOptions configures a Candidate. Election and Instance are required, and
// either Session or Store and TTL.
type CandidateOptions struct {
	// Session provides the lease; its Store, TTL and Clock are used instead of those
	// below. A Session has at most one Candidate of an election, whose name must begin
	// with the Session's domain. Without a Session the Candidate has a lease of its
	// own.
	Session *Session
	Store   store.Store
	// Election names the election; processes that use the same name compete.
	Election string
	// Instance is written into the keys, for operators to read.
	Instance string
	// TTL is the time to live of the lease, in whole seconds. It bounds the time
	// without a leader after a leader's death, and is three times the interval between
	// renewals. Each renewal takes two calls to the store.
	TTL time.Duration
	// OnChange is called from the Candidate's goroutine when the leadership begins,
	// ends, or continues with another epoch. It must not block. If a renewal hangs, the
	// end of the leadership is reported at ValidUntil. It may be nil.
	OnChange func(held Leadership, ok bool)
	// ClaimDelay returns how long to leave a vacant election to other candidates before
	// claiming it. It must not block; nil means no delay. A delay takes one more call to
	// the store for a Candidate with a lease of its own.
	ClaimDelay func() time.Duration
	// RemoveStaleClaim deletes a holder key that an earlier process of the same
	// Instance left behind, instead of waiting for its lease to expire. At most one
	// process of an Instance may run at a time.
	RemoveStaleClaim bool
	// MaxRetryDelay bounds the delay between failed attempts; zero means 5 s. It is the
	// longest time without a leader after the store is back.
	MaxRetryDelay time.Duration
	// Clock returns the time of a clock that advances during suspension; nil means
	// BootTime.
	Clock func() time.Duration
	// Log receives a line for each change of leadership; nil disables it.
	Log logrus.FieldLogger
}
