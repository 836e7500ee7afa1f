package entry

import (
	"context"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

// An operator is told "store out" only if the store did not answer: not because
// whoever asked before has gone away, nor because this entry has used up its calls.
func TestStoreProbe(t *testing.T) {
	c := qt.New(t)
	server := standin.New(standin.Options{})
	web := httptest.NewServer(server)
	kv := store.NewClient(store.Options{Endpoints: []string{web.URL}, RateLimit: 1e-9, Burst: 1})
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	for range 2 { // the second call finds the budget used up
		c.Check((&storeProbe{}).answers(gone, kv, "s"), qt.IsTrue)
	}
	c.Check(kv.Calls().Refused, qt.Equals, int64(1))
	server.Close()
	web.Close()
	kv = store.NewClient(store.Options{Endpoints: []string{web.URL}})
	probe := &storeProbe{}
	c.Check(probe.answers(context.Background(), kv, "s"), qt.IsFalse)
	before := kv.Calls().Get
	c.Check(probe.answers(context.Background(), kv, "s"), qt.IsFalse)
	c.Check(kv.Calls().Get, qt.Equals, before)
}
