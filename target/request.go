package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Request is a quick request to forward.
type Request struct {
	RequestID string
	// Attempt is the number of the attempt, counted from 1.
	Attempt int
	Account string
	Class   string
	// Remaining is the time until the deadline, or 0 without one. It is only passed to
	// the target; the context bounds the wait.
	Remaining time.Duration
	Method    string
	// Path is relative to PathRequests, escaped, without a leading slash.
	Path     string
	RawQuery string
	// Header is copied without hop-by-hop fields.
	Header http.Header
	Body   []byte
}

// Response is the target's complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do forwards r once. The error wraps ErrNotSent, ErrRefused or ErrOutcomeUnknown; only
// with the last may the request have run. If the context ends after the request was sent,
// the error is ErrOutcomeUnknown.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	req, err := c.newRequest(ctx, r)
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	var tracker sendTracker
	resp, err := c.transport.RoundTrip(req.WithContext(tracker.withTrace(ctx)))
	if err != nil {
		if tracker.notSent() {
			return Response{}, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return Response{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	defer resp.Body.Close()
	if resp.Header.Get(HeaderRefused) == "true" {
		return Response{}, fmt.Errorf("%w: status %d", ErrRefused, resp.StatusCode)
	}
	body, err := c.readBody(req.Method, resp)
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	h := resp.Header
	removeHopByHop(h)
	return Response{Status: resp.StatusCode, Header: h, Body: body}, nil
}

func (c *Client) newRequest(ctx context.Context, r Request) (*http.Request, error) {
	url := c.baseURL + PathRequests + r.Path
	if r.RawQuery != "" {
		url += "?" + r.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, url, &singleUseBody{remaining: r.Body})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	if r.Header != nil {
		req.Header = r.Header.Clone()
	}
	removeHopByHop(req.Header)
	req.Header.Set(HeaderRequestID, r.RequestID)
	req.Header.Set(HeaderAttempt, strconv.Itoa(r.Attempt))
	req.Header.Set(HeaderAccount, r.Account)
	req.Header.Set(HeaderClass, r.Class)
	req.Header.Del(HeaderDeadline)
	if r.Remaining > 0 {
		req.Header.Set(HeaderDeadline, r.Remaining.String())
	}
	return req, nil
}

// singleUseBody is a request body that cannot be rewound.
//
// net/http retries a GET, or a request with an Idempotency-Key, when a reused connection
// breaks before the response, and the target would run it twice. With a body that is
// neither nil nor rewindable the transport returns the error instead.
type singleUseBody struct {
	remaining []byte
}

// Read implements io.Reader.
func (b *singleUseBody) Read(p []byte) (int, error) {
	if len(b.remaining) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.remaining)
	b.remaining = b.remaining[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *singleUseBody) Close() error {
	return nil
}

var errUnknownLength = errors.New("answer without a length: its end can't be told from a cut")

// readBody reads the whole body. It rejects a body that is delimited by the end of the
// connection, since a truncated one looks the same.
func (c *Client) readBody(method string, resp *http.Response) ([]byte, error) {
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && method != http.MethodHead {
		return nil, errUnknownLength
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > c.maxResponseBytes {
		return nil, ErrTooLarge
	}
	return body, nil
}

var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

func removeHopByHop(h http.Header) {
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
