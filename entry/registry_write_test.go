package entry

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/platform"
	"github.com/eelgrasshub/eelgrasshub/platform/standin"
)

// An entry is replaced under its id while the old process still ends its requests.
// The new one registers and revokes the old one's lease. The old one must not
// register itself again: agents and entries would turn to it, and each would revoke
// the other's lease for as long as both live.
func TestEarlierLifeDoesNotReplaceALaterOne(t *testing.T) {
	c := qt.New(t)
	srv := standin.New(standin.Options{})
	web := httptest.NewServer(srv)
	defer web.Close()
	defer srv.Close()
	store := platform.NewClient(platform.Options{Endpoints: []string{web.URL}})
	defer store.Close()
	ctx := context.Background()
	register := func(incarnation uint64) (platform.LeaseID, error) {
		id, err := store.Grant(ctx, time.Hour)
		c.Assert(err, qt.IsNil)
		_, err = newRegistry(store, nil, "auckland", peerEntry{ID: "a", Incarnation: incarnation}, nil).write(ctx, id, 0)
		return id, err
	}
	old, err := register(1)
	c.Assert(err, qt.IsNil)
	later, err := register(2)
	c.Assert(err, qt.IsNil)
	_, err = store.Renew(ctx, old)
	c.Check(err, qt.ErrorIs, platform.ErrLeaseNotFound)
	_, err = register(1)
	c.Check(err, qt.ErrorIs, errLaterLife)
	kv, _, err := store.Get(ctx, "entries/auckland/a")
	c.Assert(err, qt.IsNil)
	c.Check(kv.Lease, qt.Equals, later)
}
