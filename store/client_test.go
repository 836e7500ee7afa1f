package store_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

// generousTimeout exceeds any pause of a busy machine, so that a call is lost only if the
// test injects the fault.
const generousTimeout = time.Minute

// startStore returns a stand-in and a client for it with generousTimeout as call
// timeout.
func startStore(t testing.TB, opts standin.Options, configure ...func(*store.Options)) (*standin.Server, *store.Client) {
	srv := standin.New(opts)
	httpServer := httptest.NewServer(srv)
	o := store.Options{Endpoints: []string{httpServer.URL}, CallTimeout: generousTimeout}
	for _, f := range configure {
		f(&o)
	}
	client := store.NewClient(o)
	t.Cleanup(func() {
		client.Close()
		srv.Close()
		httpServer.Close()
	})
	return srv, client
}

func swapOne(c *qt.C, kv store.Store, s store.Swap) store.SwapResult {
	c.Helper()
	res, err := kv.Commit(context.Background(), []store.Swap{s})
	c.Assert(err, qt.IsNil)
	c.Assert(res, qt.HasLen, 1)
	return res[0]
}

func TestCommit(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	_, kv := startStore(t, standin.Options{})

	first := swapOne(c, kv, store.Swap{Key: "a/1", Value: []byte("x")})
	c.Assert(first.Swapped, qt.IsTrue)
	conflict := swapOne(c, kv, store.Swap{Key: "a/1", Value: []byte("y")})
	c.Assert(conflict.Swapped || conflict.Unknown, qt.IsFalse)
	c.Assert(conflict.Current, qt.DeepEquals, first.Current)

	res, err := kv.Commit(ctx, []store.Swap{
		{Key: "a/1", Expect: first.Current.Mod, Delete: true},
		{Key: "a/2", Value: []byte("z")},
		{Key: "b", Expect: 99, Value: []byte("z")},
	})
	c.Assert(err, qt.IsNil)
	c.Assert([]bool{res[0].Swapped, res[1].Swapped, res[2].Swapped}, qt.DeepEquals, []bool{true, true, false})
	snap, err := kv.List(ctx, "a/")
	c.Assert(err, qt.IsNil)
	c.Assert(snap.Keys, qt.DeepEquals, []store.KeyValue{res[1].Current})
	_, ok, err := kv.Get(ctx, "a/1")
	c.Assert(err, qt.IsNil)
	c.Assert(ok, qt.IsFalse)
}

// A deleted key must compare as revision zero, so that it can be created again.
func TestCreateAfterDelete(t *testing.T) {
	c := qt.New(t)
	_, kv := startStore(t, standin.Options{})
	first := swapOne(c, kv, store.Swap{Key: "k", Value: []byte("1")})
	swapOne(c, kv, store.Swap{Key: "k", Expect: first.Current.Mod, Delete: true})
	c.Assert(swapOne(c, kv, store.Swap{Key: "k", Value: []byte("2")}).Swapped, qt.IsTrue)
}

func TestCommitSplitsIntoCalls(t *testing.T) {
	c := qt.New(t)
	srv, kv := startStore(t, standin.Options{})
	var swaps []store.Swap
	for i := range 300 {
		swaps = append(swaps, store.Swap{Key: "k" + string(rune('a'+i)), Value: []byte("v")})
	}
	swaps = append(swaps, store.Swap{Key: "big1", Value: make([]byte, 700<<10)})
	swaps = append(swaps, store.Swap{Key: "big2", Value: make([]byte, 700<<10)})
	swaps = append(swaps, store.Swap{Key: "big2", Value: []byte("twice in one call is refused")})
	res, err := kv.Commit(context.Background(), swaps)
	c.Assert(err, qt.IsNil)
	for i, r := range res {
		c.Assert(r.Swapped, qt.Equals, i < len(swaps)-1, qt.Commentf("swap %d", i))
	}
	c.Assert(srv.Counters().Txn, qt.Equals, int64(5))
	_, err = kv.Commit(context.Background(), []store.Swap{{Key: "k", Value: make([]byte, 2<<20)}})
	c.Assert(eris.Is(err, store.ErrTooLarge), qt.IsTrue)
}

func TestLease(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	now := time.Unix(0, 0)
	srv, kv := startStore(t, standin.Options{Now: func() time.Time { return now }})
	id, err := kv.Grant(ctx, 10*time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(swapOne(c, kv, store.Swap{Key: "l", Value: []byte("x"), Lease: id}).Swapped, qt.IsTrue)
	now = now.Add(9 * time.Second)
	ttl, err := kv.Renew(ctx, id)
	c.Assert(err, qt.IsNil)
	c.Assert(ttl, qt.Equals, 10*time.Second)
	now = now.Add(10 * time.Second)
	srv.Expire()
	_, ok, err := kv.Get(ctx, "l")
	c.Assert(err, qt.IsNil)
	c.Assert(ok, qt.IsFalse)
	_, err = kv.Renew(ctx, id)
	c.Assert(eris.Is(err, store.ErrLeaseNotFound), qt.IsTrue)
	c.Assert(eris.Is(kv.Revoke(ctx, id), store.ErrLeaseNotFound), qt.IsTrue)
	_, err = kv.Commit(ctx, []store.Swap{{Key: "m", Value: []byte("x"), Lease: id}})
	c.Assert(eris.Is(err, store.ErrLeaseNotFound), qt.IsTrue)
}
