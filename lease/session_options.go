package lease

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// SessionOptions of a Session. Store, Domain, Instance and TTL are needed.
type SessionOptions struct {
	Store store.Store
	// Domain is what the names of all duties of the Session begin with, as in
	// DOMAIN/NAME. The Session watches the duties of its domain, and no others.
	Domain string
	// Instance is written into the Session's key, for operators to read.
	Instance string
	// TTL is the lease's, in whole seconds. It bounds how long nobody holds the
	// duties after the process's death, and is three times the time between
	// renewals, each of which costs two calls to the store however many duties
	// there are.
	TTL time.Duration
	// Clock reads a clock that runs during suspension; nil means BootTime.
	Clock func() time.Duration
	// Log gets a line when a lease is granted or lost; nil means none.
	Log logrus.FieldLogger
}
