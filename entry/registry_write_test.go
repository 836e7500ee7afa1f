package entry

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

// Guards against an old process that registers again after it was replaced under its id:
// it would receive its successor's calls and revoke the successor's lease.
func TestEarlierIncarnationDoesNotReplaceLater(t *testing.T) {
	c := qt.New(t)
	srv := standin.New(standin.Options{})
	web := httptest.NewServer(srv)
	defer web.Close()
	defer srv.Close()
	kv := store.NewClient(store.Options{Endpoints: []string{web.URL}})
	defer kv.Close()
	ctx := context.Background()
	register := func(incarnation uint64) (store.LeaseID, error) {
		id, err := kv.Grant(ctx, time.Hour)
		c.Assert(err, qt.IsNil)
		_, err = newRegistry(kv, nil, "auckland", entryRecord{ID: "a", Incarnation: incarnation}, nil).write(ctx, id, 0)
		return id, err
	}
	old, err := register(1)
	c.Assert(err, qt.IsNil)
	later, err := register(2)
	c.Assert(err, qt.IsNil)
	_, err = kv.Renew(ctx, old)
	c.Check(err, qt.ErrorIs, store.ErrLeaseNotFound)
	_, err = register(1)
	c.Check(err, qt.ErrorIs, errLaterIncarnation)
	current, _, err := kv.Get(ctx, "entries/auckland/a")
	c.Assert(err, qt.IsNil)
	c.Check(current.Lease, qt.Equals, later)
}
