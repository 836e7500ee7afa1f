package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

const testBodyLimit = 64 << 10

func testLimits() Limits {
	return Limits{
		Connections: 10, Memory: 4 << 20, HeaderBytes: 16 << 10,
		HeaderTimeout: 10 * time.Second, RequestTimeout: 20 * time.Second, IdleTimeout: 10 * time.Second,
	}
}

// startServer starts a server whose handler replies with the size of the body. It reads no body of /unread,
// and waits for the body of /slow for 50 ms only.
func startServer(t *testing.T, limits Limits) *Server {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := Start("127.0.0.1:0", http.HandlerFunc(replyWithSize), limits, log)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = s.Close() }) // the test is over
	return s
}

func replyWithSize(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/unread" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if req.URL.Path == "/slow" {
		ctx, cancel := context.WithTimeout(req.Context(), 50*time.Millisecond)
		defer cancel()
		req = req.WithContext(ctx)
	}
	body, err := ReadBody(w, req, testBodyLimit)
	switch err {
	case nil:
		fmt.Fprint(w, len(body))
	case ErrOverloaded, ErrBodyTooSlow:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	}
}

// testClient is a connection to a server.
type testClient struct {
	net.Conn
	c      *qt.C
	reader *bufio.Reader
}

func dial(t *testing.T, s *Server) *testClient {
	c := qt.New(t)
	conn, err := net.Dial("tcp", s.Addr())
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() }) // the test is over
	return &testClient{Conn: conn, c: c, reader: bufio.NewReader(conn)}
}

func (c *testClient) send(text string) {
	c.c.Helper()
	_, err := io.WriteString(c, text)
	c.c.Assert(err, qt.IsNil)
}

// reply returns status and body of the next reply, and whether the server closes the connection.
func (c *testClient) reply() (status int, body string, closes bool) {
	c.c.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	c.c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	c.c.Assert(err, qt.IsNil)
	return resp.StatusCode, string(text), resp.Close
}

func post(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", path, length)
}

func TestBodyIsRead(t *testing.T) {
	client := dial(t, startServer(t, testLimits()))
	for _, size := range []int{0, 1, 5000, testBodyLimit} {
		client.send(post("/", size) + strings.Repeat("x", size))
		status, body, closes := client.reply()
		client.c.Check(status, qt.Equals, 200)
		client.c.Check(body, qt.Equals, fmt.Sprint(size))
		client.c.Check(closes, qt.IsFalse)
	}
}

func TestChunkedBodyIsRead(t *testing.T) {
	client := dial(t, startServer(t, testLimits()))
	client.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;ext=1\r\nx\r\n", 6000) + "0\r\nTrailer: 1\r\n\r\n")
	status, body, _ := client.reply()
	client.c.Check(status, qt.Equals, 200)
	client.c.Check(body, qt.Equals, "6000")
}

func TestBodyIsReadAfterContinue(t *testing.T) {
	client := dial(t, startServer(t, testLimits()))
	client.send("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	line, err := client.reader.ReadString('\n')
	client.c.Assert(err, qt.IsNil)
	client.c.Assert(line, qt.Equals, "HTTP/1.1 100 Continue\r\n")
	_, _ = client.reader.ReadString('\n') // the empty line
	client.send("abc")
	_, body, _ := client.reply()
	client.c.Check(body, qt.Equals, "3")
}

func TestTooLargeBodyIsRefused(t *testing.T) {
	s := startServer(t, testLimits())
	for name, request := range map[string]string{
		"length":  post("/", testBodyLimit+1),
		"chunked": "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + strings.Repeat("x", 0x20000) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			client := dial(t, s)
			client.send(request)
			status, _, closes := client.reply()
			client.c.Check(status, qt.Equals, http.StatusRequestEntityTooLarge)
			client.c.Check(closes, qt.IsTrue)
		})
	}
}

// Guards against a client that stops within a body and is waited for beyond the deadline of its request.
func TestSlowBodyIsRefused(t *testing.T) {
	client := dial(t, startServer(t, testLimits()))
	client.send(post("/slow", 10) + "123456789")
	status, body, closes := client.reply()
	client.c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	client.c.Check(strings.TrimSpace(body), qt.Equals, ErrBodyTooSlow.Error())
	client.c.Check(closes, qt.IsTrue)
	_, err := client.reader.ReadByte()
	client.c.Check(err, qt.Equals, io.EOF)
}

// Guards against a client that stops within a body that no handler reads, and is waited for without end.
func TestUnreadBodyIsNotAwaited(t *testing.T) {
	for name, expect := range map[string]string{"plain": "", "expects continue": "Expect: 100-continue\r\n"} {
		t.Run(name, func(t *testing.T) {
			client := dial(t, startServer(t, testLimits()))
			client.send("POST /unread HTTP/1.1\r\nHost: a\r\n" + expect + "Content-Length: 10\r\n\r\n123456789")
			status, _, closes := client.reply()
			client.c.Check(status, qt.Equals, http.StatusNotFound)
			client.c.Check(closes, qt.IsTrue)
			_, err := client.reader.ReadByte()
			client.c.Check(err, qt.Equals, io.EOF)
		})
	}
}

func TestConnectionIsKeptAfterUnreadBody(t *testing.T) {
	client := dial(t, startServer(t, testLimits()))
	for range 2 {
		client.send(post("/unread", 10) + "1234567890")
		status, _, closes := client.reply()
		client.c.Check(status, qt.Equals, http.StatusNotFound)
		client.c.Check(closes, qt.IsFalse)
	}
}

// Guards against header lines that take many times their size once they are parsed, before any handler runs.
func TestHeadersBeyondMemoryAreRefused(t *testing.T) {
	limits := testLimits()
	limits.Memory = 100 << 10
	s := startServer(t, limits)
	client := dial(t, s)
	client.send("GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 2000))
	status, _, closes := client.reply()
	client.c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	client.c.Check(closes, qt.IsTrue)
	client.c.Check(s.Counters().Overloaded.Load(), qt.Equals, int64(1))

	ordinary := dial(t, s)
	ordinary.send(post("/", 3) + "abc")
	status, _, _ = ordinary.reply()
	client.c.Check(status, qt.Equals, 200)
}

// Guards against headers that were read together with the request before them, and are not accounted for.
func TestHeadersBehindRequestAreAccounted(t *testing.T) {
	s := startServer(t, testLimits())
	client := dial(t, s)
	client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 900))
	_, _, _ = client.reply()
	client.c.Check(s.Counters().RequestBytes.Load() >= 900*headerLineMemory, qt.IsTrue)
}

// Guards against accounts that keep what their requests have held.
func TestNothingIsHeldAfterwards(t *testing.T) {
	s := startServer(t, testLimits())
	client := dial(t, s)
	client.send(post("/", testBodyLimit) + strings.Repeat("x", testBodyLimit))
	_, _, _ = client.reply()
	_ = client.Close()
	for end := time.Now().Add(10 * time.Second); s.Counters().Connections.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	client.c.Check(s.Counters().Connections.Load(), qt.Equals, int64(0))
	client.c.Check(s.Counters().RequestBytes.Load(), qt.Equals, int64(0))
}

// Guards against an estimate below what parsed headers take.
func TestHeaderMemoryIsNotUnderestimated(t *testing.T) {
	letters := "abcdefghijklmnopqrstuvwxyz0123456789"
	for name, line := range map[string]func(n int) string{
		"different names": func(n int) string {
			return string([]byte{letters[n/1296%36], letters[n/36%36], letters[n%36]}) + ":\n"
		},
		"one name":   func(int) string { return "a:\n" },
		"with value": func(int) string { return "a:b\n" },
		"long":       func(n int) string { return fmt.Sprintf("x%d:%s\n", n, strings.Repeat("v", 2000)) },
		"ordinary":   func(n int) string { return fmt.Sprintf("X-Header-%d: some value\r\n", n) },
	} {
		t.Run(name, func(t *testing.T) {
			text := "GET / HTTP/1.1\r\nHost: a\r\n"
			for n := 0; len(text) < 20<<10; n++ {
				text += line(n)
			}
			text += "\r\n"
			estimate := headerMemory(len(text), strings.Count(text, "\n"))
			if held := parsedSize(t, text); held > estimate {
				t.Errorf("holds %d bytes, estimated %d", held, estimate)
			}
		})
	}
}

// parsedSize returns the memory that a parsed request holds, in bytes.
func parsedSize(t *testing.T, text string) int64 {
	const n = 50
	var before, after runtime.MemStats
	var requests [n]*http.Request
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range requests {
		var err error
		requests[i], err = http.ReadRequest(bufio.NewReader(bytes.NewReader([]byte(text))))
		qt.Assert(t, err, qt.IsNil)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(requests)
	return (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / n
}
