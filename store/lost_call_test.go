package store_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

var errConnectionClosed = errors.New("connection closed by the test")

// interferingTransport calls afterLoss after the first failed call, or withholds the
// first request until release is called.
type interferingTransport struct {
	afterLoss       func()
	withholdFirst   bool
	once            sync.Once
	withheldRequest *http.Request
}

// RoundTrip implements http.RoundTripper.
func (t *interferingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.withholdFirst && t.withheldRequest == nil {
		body, _ := io.ReadAll(r.Body)
		t.withheldRequest, _ = http.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
		httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
		return nil, errConnectionClosed
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil && t.afterLoss != nil {
		t.once.Do(t.afterLoss)
	}
	return resp, err
}

func (t *interferingTransport) release(c *qt.C) {
	resp, err := http.DefaultTransport.RoundTrip(t.withheldRequest)
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
}

func withTransport(transport *interferingTransport) func(*store.Options) {
	return func(o *store.Options) { o.HTTP = &http.Client{Transport: transport} }
}

// After a lost request or reply, a swap must not be reported as a conflict with itself,
// nor as made if it was not.
func TestCommitWithLostCall(t *testing.T) {
	lostReply, lostRequest := standin.Faults{LoseReplies: 1}, standin.Faults{LoseRequests: 1}
	const ownValue, otherValue = "ours", "theirs"
	for _, test := range []struct {
		name       string
		faults     standin.Faults
		exists     bool
		delete     bool
		concurrent bool // another process writes before the outcome is resolved
		swapped    bool
		unknown    bool
		finalValue string
	}{
		{"create, reply lost", lostReply, false, false, false, true, false, ownValue},
		{"create, request lost", lostRequest, false, false, false, false, true, ""},
		{"create, request lost, another creates", lostRequest, false, false, true, false, true, otherValue},
		{"update, reply lost", lostReply, true, false, false, true, false, ownValue},
		{"update, reply lost, another overwrites", lostReply, true, false, true, true, false, otherValue},
		{"update, request lost", lostRequest, true, false, false, true, false, ownValue},
		{"update, request lost, another writes first", lostRequest, true, false, true, false, false, otherValue},
		{"delete, reply lost", lostReply, true, true, false, false, true, ""},
		{"delete, request lost", lostRequest, true, true, false, true, false, ""},
		{"delete, request lost, another writes first", lostRequest, true, true, true, false, false, otherValue},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var srv *standin.Server
			transport := &interferingTransport{}
			srv, kv := startStore(t, standin.Options{}, withTransport(transport))
			s := store.Swap{Key: "k", Value: []byte(ownValue), Delete: test.delete}
			if test.exists {
				s.Expect = swapOne(c, kv, store.Swap{Key: "k", Value: []byte("old")}).Current.Mod
			}
			if test.concurrent {
				transport.afterLoss = func() {
					current, _, _ := kv.Get(context.Background(), "k")
					swapOne(c, kv, store.Swap{Key: "k", Expect: current.Mod, Value: []byte(otherValue)})
				}
			}
			srv.SetFaults(test.faults)
			res := swapOne(c, kv, s)
			c.Assert(res.Swapped, qt.Equals, test.swapped)
			c.Assert(res.Unknown, qt.Equals, test.unknown)
			current, _, err := kv.Get(context.Background(), "k")
			c.Assert(err, qt.IsNil)
			c.Assert(string(current.Value), qt.Equals, test.finalValue)
			c.Assert(res.Current.Mod, qt.Equals, current.Mod)
			c.Assert(kv.Calls().Lost, qt.Equals, int64(1))
		})
	}
}

// A swap whose request is delayed must not be reported as not made and then take
// effect, nor take effect twice.
func TestCommitWithDelayedRequest(t *testing.T) {
	c := qt.New(t)
	transport := &interferingTransport{}
	_, kv := startStore(t, standin.Options{}, withTransport(transport))
	first := swapOne(c, kv, store.Swap{Key: "k", Value: []byte("old")})
	transport.withholdFirst = true
	res := swapOne(c, kv, store.Swap{Key: "k", Expect: first.Current.Mod, Value: []byte("new")})
	c.Assert(res.Swapped, qt.IsTrue)
	next := swapOne(c, kv, store.Swap{Key: "k", Expect: res.Current.Mod, Value: []byte("newer")})
	transport.release(c)
	current, _, err := kv.Get(context.Background(), "k")
	c.Assert(err, qt.IsNil)
	c.Assert(current.Mod, qt.Equals, next.Current.Mod)
}

// After a lost reply to a grant the lease ID must be known, and a repeated revocation
// must not be reported as an expired lease.
func TestLostLeaseReply(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	srv, kv := startStore(t, standin.Options{})
	srv.SetFaults(standin.Faults{LoseReplies: 1})
	id, err := kv.Grant(ctx, time.Minute)
	c.Assert(err, qt.IsNil)
	srv.SetFaults(standin.Faults{LoseReplies: 1})
	_, err = kv.Renew(ctx, id)
	c.Assert(err, qt.IsNil)
	srv.SetFaults(standin.Faults{LoseReplies: 1})
	c.Assert(kv.Revoke(ctx, id), qt.IsNil)
	c.Assert(eris.Is(kv.Revoke(ctx, id), store.ErrLeaseNotFound), qt.IsTrue)
}

func TestUnavailableStore(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	srv, kv := startStore(t, standin.Options{})
	swaps := []store.Swap{{Key: "k", Value: []byte("v")}}

	// The call is rejected before it takes effect.
	srv.SetFaults(standin.Faults{MaxWrites: 0.001})
	swapOne(c, kv, store.Swap{Key: "uses the one call", Value: []byte("v")})
	_, err := kv.Commit(ctx, swaps)
	c.Assert(eris.Is(err, store.ErrUnavailable), qt.IsTrue)

	// Nothing listens at the endpoint, so no byte is sent.
	unreachable := store.NewClient(store.Options{Endpoints: []string{"http://127.0.0.1:1"}})
	_, err = unreachable.Commit(ctx, swaps)
	c.Assert(eris.Is(err, store.ErrUnavailable), qt.IsTrue)
	c.Assert(unreachable.Calls().Lost, qt.Equals, int64(0))

	// A 503 may come from a proxy after the write took effect.
	srv.SetFaults(standin.Faults{Down: standin.DownRefuse})
	c.Assert(swapOne(c, kv, swaps[0]).Unknown, qt.IsTrue)
	_, _, err = kv.Get(ctx, "k")
	c.Assert(eris.Is(err, store.ErrUnavailable), qt.IsTrue)
}

func TestRateLimit(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	srv, kv := startStore(t, standin.Options{}, func(o *store.Options) { o.RateLimit, o.Burst = 0.001, 2 })
	id, err := kv.Grant(ctx, time.Minute)
	c.Assert(err, qt.IsNil)
	_, _, err = kv.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	_, _, err = kv.Get(ctx, "k")
	c.Assert(eris.Is(err, store.ErrRateLimited), qt.IsTrue)
	_, err = kv.Commit(ctx, []store.Swap{{Key: "k", Value: []byte("v")}})
	c.Assert(eris.Is(err, store.ErrRateLimited), qt.IsTrue)
	_, err = kv.Renew(ctx, id)
	c.Assert(err, qt.IsNil)
	c.Assert(kv.Calls().Refused, qt.Equals, int64(2))
	c.Assert(srv.Counters().Total(), qt.Equals, kv.Calls().Total())
}

// Of three endpoints one refuses connections, one hangs and one works. Calls must reach
// the third.
func TestEndpointFailover(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	hanging := standin.New(standin.Options{})
	hanging.SetFaults(standin.Faults{Down: standin.DownHang})
	_, kv := startStore(t, standin.Options{}, func(o *store.Options) {
		o.CallTimeout = 2 * time.Second
		o.Endpoints = append([]string{"http://127.0.0.1:1", serveStandin(t, hanging)}, o.Endpoints...)
	})
	_, _, err := kv.Get(context.Background(), "k")
	c.Assert(err, qt.IsNil)
	c.Assert(swapOne(c, kv, store.Swap{Key: "k", Value: []byte("v")}).Swapped, qt.IsTrue)
	c.Assert(kv.Calls().Lost, qt.Equals, int64(0))
}
