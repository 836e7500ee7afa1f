package entry

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/lease"
)

const (
	// sessionTTL bounds for how long a scheduling domain has no planner after its
	// entry died, and for how long a dead entry stays registered.
	sessionTTL = 4 * time.Second
	// sessionCloseTimeout bounds the wait for the lease's end; it lapses by itself
	// otherwise.
	sessionCloseTimeout = time.Second
)

// openSession begins the one lease for this entry's registration and duties.
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
