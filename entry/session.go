package entry

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/lease"
)

const (
	// sessionTTL limits how long a service has no planner, and how long a dead entry
	// stays registered, after the entry died.
	sessionTTL = 4 * time.Second
	// sessionCloseTimeout limits the revocation of the lease; the lease expires by itself
	// otherwise.
	sessionCloseTimeout = time.Second
)

// openSession opens the session whose lease covers this entry's registration and
// leaderships.
func (e *Entry) openSession() {
	e.session = lease.OpenSession(lease.SessionOptions{
		Store:    e.store,
		Domain:   e.cfg.Region,
		Instance: e.cfg.ID,
		TTL:      sessionTTL,
		Log:      e.log,
	})
}

func (e *Entry) closeSession() {
	ctx, cancel := context.WithTimeout(context.Background(), sessionCloseTimeout)
	defer cancel()
	_ = e.session.Close(ctx)
}
