package store_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

// listedKeys fill three pages.
const listedKeys = 2500

// pagedStore is a stand-in with listedKeys keys. It calls afterPage after each answer
// to a listing.
type pagedStore struct {
	*standin.Server
	client    *store.Client
	afterPage func(page int)
	pages     int
}

func newPagedStore(c *qt.C) *pagedStore {
	p := &pagedStore{Server: standin.New(standin.Options{}), afterPage: func(int) {}}
	httpServer := httptest.NewServer(p)
	p.client = store.NewClient(store.Options{Endpoints: []string{httpServer.URL}, CallTimeout: 5 * time.Second})
	c.Cleanup(func() {
		p.client.Close()
		p.Server.Close()
		httpServer.Close()
	})
	var swaps []store.Swap
	for i := range listedKeys {
		swaps = append(swaps, store.Swap{Key: pagedKey(i), Value: []byte("first")})
	}
	_, err := p.client.Commit(context.Background(), swaps)
	c.Assert(err, qt.IsNil)
	return p
}

func pagedKey(i int) string { return fmt.Sprintf("jobs/%05d", i) }

// ServeHTTP counts a page and calls afterPage before it sends the answer; otherwise the
// client could finish before they are done.
func (p *pagedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/range") {
		p.Server.ServeHTTP(w, r)
		return
	}
	recorder := httptest.NewRecorder()
	p.Server.ServeHTTP(recorder, r)
	p.pages++
	p.afterPage(p.pages)
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes()) // the client may have closed the connection
}

// writeKey changes a key as another process would.
func (p *pagedStore) writeKey(c *qt.C, i int, value string) {
	client := p.newUncountedClient(c)
	defer client.Close()
	kv, _, err := client.Get(context.Background(), pagedKey(i))
	c.Check(err, qt.IsNil)
	c.Check(swapOne(c, client, store.Swap{Key: pagedKey(i), Expect: kv.Mod, Value: []byte(value)}).Swapped, qt.IsTrue)
}

// newUncountedClient returns a client whose calls are not counted as pages.
func (p *pagedStore) newUncountedClient(c *qt.C) *store.Client {
	httpServer := httptest.NewServer(p.Server)
	c.Cleanup(httpServer.Close)
	return store.NewClient(store.Options{Endpoints: []string{httpServer.URL}})
}

// Writes between two pages must not change a listing: a key would be missing or listed
// twice, and a watch from the listing's revision would not deliver it.
func TestListReadsOneRevision(t *testing.T) {
	c := qt.New(t)
	p := newPagedStore(c)
	p.afterPage = func(page int) {
		if page == 1 {
			p.writeKey(c, 0, "second")
			p.writeKey(c, listedKeys-1, "second")
		}
	}
	snap, err := p.client.List(context.Background(), "jobs/")
	c.Assert(err, qt.IsNil)
	c.Assert(p.pages, qt.Equals, 3)
	c.Assert(snap.Keys, qt.HasLen, listedKeys)
	for i, kv := range snap.Keys {
		c.Assert(kv.Key, qt.Equals, pagedKey(i))
		c.Assert(string(kv.Value), qt.Equals, "first")
		c.Assert(kv.Mod <= snap.At, qt.IsTrue)
	}
}

// A listing starts again if the store compacts its revision or is restored between two
// pages.
func TestListRestarts(t *testing.T) {
	c := qt.New(t)
	for name, disrupt := range map[string]func(p *pagedStore){
		"compacted": func(p *pagedStore) {
			p.writeKey(c, 7, "second")
			p.Compact()
		},
		"restored": func(p *pagedStore) {
			p.Restore()
			p.writeKey(c, 7, "second")
		},
	} {
		c.Run(name, func(c *qt.C) {
			p := newPagedStore(c)
			p.Snapshot()
			p.afterPage = func(page int) {
				if page == 1 {
					disrupt(p)
				}
			}
			snap, err := p.client.List(context.Background(), "jobs/")
			c.Assert(err, qt.IsNil)
			c.Assert(snap.Keys, qt.HasLen, listedKeys)
			c.Assert(string(snap.Keys[7].Value), qt.Equals, "second")
			c.Assert(p.pages > 3, qt.IsTrue)
		})
	}
}

// A listing must end even if the store compacts after every page.
func TestListStopsRestarting(t *testing.T) {
	c := qt.New(t)
	p := newPagedStore(c)
	p.afterPage = func(int) {
		p.writeKey(c, 7, fmt.Sprint(p.pages))
		p.Compact()
	}
	_, err := p.client.List(context.Background(), "jobs/")
	c.Assert(eris.Is(err, store.ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
}

func TestListKeysOmitsValues(t *testing.T) {
	c := qt.New(t)
	p := newPagedStore(c)
	ctx := context.Background()
	keys, err := p.client.ListKeys(ctx, "jobs/")
	c.Assert(err, qt.IsNil)
	withValues, err := p.client.List(ctx, "jobs/")
	c.Assert(err, qt.IsNil)
	for i := range withValues.Keys {
		withValues.Keys[i].Value = nil
	}
	c.Assert(keys, qt.DeepEquals, withValues)
}
