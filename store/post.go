package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

const (
	contentType  = "application/json"
	maxReply     = 64 << 20
	maxErrorBody = 4 << 10
)

// fate tells what can be known of a call that returned an error.
type fate int

const (
	fateReplied fate = iota // answered
	fateUnsent              // no byte reached the service
	fateRefused             // answered with a refusal: no effect
	fateLost                // sent, and the outcome is unknown
)

// outcome is the end of one attempt of one call.
type outcome struct {
	fate  fate
	code  int    // of a refusal, as the API numbers them
	msg   string // of a refusal
	cause error
}

func (o outcome) ok() bool { return o.fate == fateReplied }

// err returns the typed error of a call that certainly had no effect.
func (o outcome) err() error {
	if o.code == v3json.CodeNotFound {
		return ErrLeaseNotFound
	}
	if o.code == v3json.CodeOutOfRange {
		return ErrCompacted
	}
	if o.cause != nil {
		return eris.Wrap(ErrUnavailable, o.cause.Error())
	}
	return eris.Wrap(ErrUnavailable, o.msg)
}

// post makes one attempt of one call.
func (c *Client) post(ctx context.Context, base, path string, req, res any) outcome {
	body, err := json.Marshal(req)
	if err != nil {
		return outcome{fate: fateUnsent, cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	resp, sent, err := c.send(ctx, base+path, body)
	if err != nil {
		return c.broken(ctx, sent, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refused(resp)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(res); err != nil {
		return c.broken(ctx, true, err)
	}
	return outcome{}
}

// send sends a request and reports whether a connection had been had for it.
// Without one, no byte of the request can have reached the service; from then
// on it may have, whatever the error says.
func (c *Client) send(ctx context.Context, url string, body []byte) (*http.Response, bool, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	req.Header.Set("Content-Type", contentType)
	resp, err := c.opts.HTTP.Do(req)
	return resp, connected.Load(), err
}

func (c *Client) broken(ctx context.Context, sent bool, err error) outcome {
	if ctx.Err() != nil {
		c.drop()
	}
	if !sent {
		return outcome{fate: fateUnsent, cause: err}
	}
	return outcome{fate: fateLost, cause: err}
}

// refused reads a reply other than 200. A 5xx may hide a write that took
// effect: the service reports its own timeouts so, and so does anything
// between that lost the reply.
func refused(resp *http.Response) outcome {
	var body v3json.Error
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxErrorBody)).Decode(&body)
	msg := body.Message
	if msg == "" {
		msg = resp.Status
	}
	o := outcome{fate: fateRefused, code: body.Code, msg: msg}
	if resp.StatusCode >= http.StatusInternalServerError {
		o.fate = fateLost
	}
	return o
}
