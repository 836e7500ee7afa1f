package target

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func startTarget(t *testing.T, h http.HandlerFunc) *Client {
	srv := httptest.NewServer(h)
	client := NewClient(Options{BaseURL: srv.URL})
	t.Cleanup(func() {
		client.Close()
		srv.Close()
	})
	return client
}

func TestDoReturnsWholeResponse(t *testing.T) {
	c := qt.New(t)
	client := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Seen", r.Method+" "+r.URL.EscapedPath()+"?"+r.URL.RawQuery+" "+r.Header.Get(HeaderRequestID)+
			" "+r.Header.Get(HeaderAttempt)+" "+r.Header.Get(HeaderDeadline))
		w.WriteHeader(http.StatusFound)
		_, _ = w.Write(body)
	})
	resp, err := client.Do(context.Background(), Request{RequestID: "r1", Attempt: 2, Remaining: time.Second,
		Method: "PUT", Path: "a%2Fb/c", RawQuery: "x=1", Body: []byte("pallet")})
	c.Assert(err, qt.IsNil)
	c.Check(resp.Status, qt.Equals, http.StatusFound)
	c.Check(string(resp.Body), qt.Equals, "pallet")
	c.Check(resp.Header.Get("Seen"), qt.Equals, "PUT /requests/a%2Fb/c?x=1 r1 2 1s")
}

func TestDoErrors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	closedURL := "http://" + listener.Addr().String()
	listener.Close()
	qt.Check(t, errors.Is(doPost(NewClient(Options{BaseURL: closedURL})), ErrNotSent), qt.IsTrue)

	for name, tc := range map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"target dies before the answer": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrOutcomeUnknown},
		"body cut short": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
		}, ErrOutcomeUnknown},
		"body of unknown length": {func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := http.NewResponseController(w).Hijack()
			_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\nperhaps half")
			conn.Close()
		}, ErrOutcomeUnknown},
		"refused": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderRefused, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, ErrRefused},
		"answer too large": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, DefaultMaxResponseBytes+1))
		}, ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			err := doPost(startTarget(t, tc.handler))
			qt.Check(t, errors.Is(err, tc.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

func doPost(c *Client) error {
	_, err := c.Do(context.Background(), Request{Method: "POST"})
	return err
}

func TestCancelAfterSendIsUnknown(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	client := startTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body was read
		cancel()
		<-r.Context().Done()
	})
	_, err := client.Do(ctx, Request{Method: "POST", Body: []byte("x")})
	qt.Check(t, errors.Is(err, ErrOutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
}

func TestBrokenReusedConnectionIsNotRetried(t *testing.T) {
	// A GET with an Idempotency-Key on a reused connection runs, then the connection
	// breaks. net/http would retry it and run it twice.
	var runs atomic.Int32
	client := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "warm" {
			return
		}
		runs.Add(1)
		panic(http.ErrAbortHandler)
	})
	_, err := client.Do(context.Background(), Request{Method: "GET", RawQuery: "warm"})
	qt.Assert(t, err, qt.IsNil)
	_, err = client.Do(context.Background(), Request{Method: "GET", Header: http.Header{"Idempotency-Key": {"k"}}})
	qt.Check(t, errors.Is(err, ErrOutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, runs.Load(), qt.Equals, int32(1))
}

func TestClosedConnectionProvesNotSent(t *testing.T) {
	// The transport must not send a request after it was reported as not sent.
	c := qt.New(t)
	clientEnd, serverEnd := net.Pipe()
	defer serverEnd.Close()
	conn := &trackedConn{Conn: clientEnd}
	var tracker sendTracker
	tracker.uses = []connUse{{conn, conn.writeCount()}}
	c.Check(tracker.notSent(), qt.IsTrue)
	_, err := conn.Write([]byte("late"))
	c.Check(err, qt.Equals, errConnClosed)

	clientEnd, serverEnd = net.Pipe()
	go func() { _, _ = bufio.NewReader(serverEnd).ReadByte() }()
	conn = &trackedConn{Conn: clientEnd}
	tracker.uses = []connUse{{conn, conn.writeCount()}}
	_, _ = conn.Write([]byte("x"))
	c.Check(tracker.notSent(), qt.IsFalse)
	serverEnd.Close()
}

func TestCancelWhileWaitingForConnectionIsNotSent(t *testing.T) {
	// A context that ends while all connections are busy must give ErrNotSent, not
	// ErrOutcomeUnknown.
	release := make(chan struct{})
	handlerEntered := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(handlerEntered)
		<-release
	}))
	defer srv.Close()
	client := NewClient(Options{BaseURL: srv.URL, MaxConns: 1})
	defer client.Close()
	first := make(chan error)
	go func() { first <- doPost(client) }()
	<-handlerEntered
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := client.Do(ctx, Request{Method: "POST"})
	qt.Check(t, errors.Is(err, ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
	close(release)
	qt.Check(t, <-first, qt.IsNil)
}
