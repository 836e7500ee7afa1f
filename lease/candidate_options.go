package lease

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// CandidateOptions of a Holder. Duty, Instance, and either Session or Store and TTL are
// needed.
type CandidateOptions struct {
	// Session is whose lease the duty is held under; its Store, TTL and Clock then
	// count. One Session has at most one Holder of a duty, whose name begins with
	// the Session's domain. With nil the Holder has a lease of its own.
	Session *Session
	Store   store.Store
	// Election names what is held; processes with the same name compete.
	Election string
	// Instance is written into the keys, for operators to read.
	Instance string
	// TTL is the lease's, in whole seconds. It bounds how long nobody holds
	// the duty after a holder's death, and is three times the time between
	// renewals, each of which costs two calls to the store.
	TTL time.Duration
	// OnChange is told when the duty is gained, lost, or goes on under another
	// epoch, from the Holder's goroutine; it must not block. It may be nil. The
	// loss of a duty whose renewal hangs is told at Until.
	OnChange func(held Leadership, ok bool)
	// ClaimDelay is asked, when nobody is found to hold the duty, for how long to
	// leave it to other candidates. It must not block; nil means not at all. It
	// costs a Holder with a lease of its own one more call.
	ClaimDelay func() time.Duration
	// RemoveStaleClaim removes a claim that an earlier process of the same Instance left
	// behind, instead of waiting for its lease to lapse. At most one process of an
	// Instance may run at a time.
	RemoveStaleClaim bool
	// MaxRetryDelay bounds the pause between attempts that fail; zero means 5 s. It is how
	// long nobody may hold the duty after the store is back.
	MaxRetryDelay time.Duration
	// Clock reads a clock that runs during suspension; nil means BootTime.
	Clock func() time.Duration
	// Log gets a line for each change; nil means none.
	Log logrus.FieldLogger
}
