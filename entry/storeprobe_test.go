package entry

import (
	"context"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

// Guards against reporting the store as unavailable because an earlier caller went away
// or this entry's rate limit is exceeded.
func TestStoreProbeReportsOnlyStoreFailures(t *testing.T) {
	c := qt.New(t)
	server := standin.New(standin.Options{})
	web := httptest.NewServer(server)
	kv := store.NewClient(store.Options{Endpoints: []string{web.URL}, RateLimit: 1e-9, Burst: 1})
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for range 2 { // the second call exceeds the rate limit
		c.Check((&storeProbe{}).check(cancelled, kv, "s"), qt.IsTrue)
	}
	c.Check(kv.Calls().Refused, qt.Equals, int64(1))
	server.Close()
	web.Close()
	kv = store.NewClient(store.Options{Endpoints: []string{web.URL}})
	probe := &storeProbe{}
	c.Check(probe.check(context.Background(), kv, "s"), qt.IsFalse)
	getsBefore := kv.Calls().Get
	c.Check(probe.check(context.Background(), kv, "s"), qt.IsFalse)
	c.Check(kv.Calls().Get, qt.Equals, getsBefore)
}
