package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

var (
	// ErrNotSent is returned if no connection could be made; the call had no effect.
	ErrNotSent = errors.New("api: request was not sent")
	// ErrOutcomeUnknown is returned if the call was sent but no complete answer of an
	// entry was received; it may have had its effect.
	ErrOutcomeUnknown = errors.New("api: outcome is unknown")
)

// MaxResponseLen is the maximum length of a response that Client reads, in bytes.
const MaxResponseLen = 16 << 20

// Client calls one entry, or the load balancer of several.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the entry at the given base URL, such as
// "http://10.0.0.1:8080". A nil transport selects the default one.
func NewClient(base string, transport http.RoundTripper) *Client {
	return &Client{
		base: strings.TrimRight(base, "/"),
		http: &http.Client{
			Transport: transport,
			// A redirect is part of the target's answer.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// rawResponse is a complete response, from an entry or from an intermediary.
type rawResponse struct {
	status int
	header http.Header
	body   []byte
}

// send sends one request and reads the complete response. Errors wrap ErrNotSent or
// ErrOutcomeUnknown.
func (c *Client) send(ctx context.Context, method, path string, h http.Header, body []byte) (rawResponse, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return rawResponse{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	// The body cannot be rewound, so net/http does not resend the request after a
	// connection error.
	req.ContentLength = int64(len(body))
	if h != nil {
		req.Header = h
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return rawResponse{}, sendError(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseLen+1))
	if err != nil {
		return rawResponse{}, fmt.Errorf("%w: incomplete response: %w", ErrOutcomeUnknown, err)
	}
	if len(text) > MaxResponseLen {
		return rawResponse{}, fmt.Errorf("%w: response is longer than %d bytes", ErrOutcomeUnknown, MaxResponseLen)
	}
	return rawResponse{resp.StatusCode, resp.Header, text}, nil
}

// sendError wraps a failed call: only a failure to connect proves that nothing was sent.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

// problem returns the Problem in the response, or nil if there is none.
func (a rawResponse) problem() *Problem {
	if a.header.Get("Content-Type") != ContentTypeProblem {
		return nil
	}
	p := &Problem{}
	if err := json.Unmarshal(a.body, p); err != nil {
		return nil
	}
	return p
}

// doJSON makes a call whose response is JSON. Errors are a *Problem, or wrap ErrNotSent or
// ErrOutcomeUnknown.
func (c *Client) doJSON(ctx context.Context, method, path string, h http.Header, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	if h == nil {
		h = http.Header{}
	}
	h.Set("Content-Type", ContentTypeJSON)
	a, err := c.send(ctx, method, path, h, body)
	if err != nil {
		return err
	}
	if a.status >= 300 {
		if p := a.problem(); p != nil {
			return p
		}
		return fmt.Errorf("%w: status %d without problem details", ErrOutcomeUnknown, a.status)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(a.body, out); err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return nil
}
