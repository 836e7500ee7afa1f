package entry

import (
	"context"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/platform"
	"github.com/eelgrasshub/eelgrasshub/platform/standin"
)

// An operator is told "store out" only if the store did not answer: not because
// whoever asked before has gone away, nor because this entry has used up its calls.
func TestStoreProbe(t *testing.T) {
	c := qt.New(t)
	server := standin.New(standin.Options{})
	web := httptest.NewServer(server)
	store := platform.NewClient(platform.Options{Endpoints: []string{web.URL}, Budget: 1e-9, Burst: 1})
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	for range 2 { // the second call finds the budget used up
		c.Check((&storeProbe{}).answers(gone, store, "s"), qt.IsTrue)
	}
	c.Check(store.Calls().Refused, qt.Equals, int64(1))
	server.Close()
	web.Close()
	store = platform.NewClient(platform.Options{Endpoints: []string{web.URL}})
	probe := &storeProbe{}
	c.Check(probe.answers(context.Background(), store, "s"), qt.IsFalse)
	before := store.Calls().Get
	c.Check(probe.answers(context.Background(), store, "s"), qt.IsFalse)
	c.Check(store.Calls().Get, qt.Equals, before)
}
