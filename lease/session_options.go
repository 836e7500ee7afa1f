package lease

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// SessionOptions configures a Session. Store, Domain, Instance and TTL are required.
type SessionOptions struct {
	Store store.Store
	// Domain is the prefix of the names of all elections of the Session, as in
	// DOMAIN/NAME. The Session watches only the elections of its domain.
	Domain string
	// Instance is written into the Session's key, for operators to read.
	Instance string
	// TTL is the time to live of the lease, in whole seconds. It bounds the time
	// without leaders after the process's death, and is three times the interval
	// between renewals. Each renewal takes two calls to the store, however many
	// elections there are.
	TTL time.Duration
	// Clock returns the time of a clock that advances during suspension; nil means
	// BootTime.
	Clock func() time.Duration
	// Log receives a line when a lease is granted or lost; nil disables it.
	Log logrus.FieldLogger
}
