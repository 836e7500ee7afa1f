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
	contentType       = "application/json"
	maxReplyBytes     = 64 << 20
	maxErrorBodyBytes = 4 << 10
)

// callStatus is what is known about one attempt of a call.
type callStatus int

const (
	statusReplied  callStatus = iota // answered
	statusNotSent                    // no byte reached the service
	statusRejected                   // answered with an error: no effect
	statusLost                       // may have been sent; the outcome is unknown
)

// callResult is the result of one attempt of a call.
type callResult struct {
	status callStatus
	code   int    // gRPC code of an error reply
	msg    string // message of an error reply
	cause  error
}

func (r callResult) ok() bool { return r.status == statusReplied }

// err returns the package's sentinel error for the result of a failed call.
func (r callResult) err() error {
	if r.code == v3json.CodeNotFound {
		return ErrLeaseNotFound
	}
	if r.code == v3json.CodeOutOfRange {
		return ErrCompacted
	}
	if r.cause != nil {
		return eris.Wrap(ErrUnavailable, r.cause.Error())
	}
	return eris.Wrap(ErrUnavailable, r.msg)
}

// post makes one attempt of a call.
func (c *Client) post(ctx context.Context, base, path string, req, res any) callResult {
	body, err := json.Marshal(req)
	if err != nil {
		return callResult{status: statusNotSent, cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	resp, sent, err := c.send(ctx, base+path, body)
	if err != nil {
		return c.transportError(ctx, sent, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errorResult(resp)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(res); err != nil {
		return c.transportError(ctx, true, err)
	}
	return callResult{}
}

// send sends a request and reports whether a connection was obtained for it. Without
// one, no byte of the request can have reached the service; with one it may have,
// whatever the error is.
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

func (c *Client) transportError(ctx context.Context, sent bool, err error) callResult {
	if ctx.Err() != nil {
		c.closeIdleConnections()
	}
	if !sent {
		return callResult{status: statusNotSent, cause: err}
	}
	return callResult{status: statusLost, cause: err}
}

// errorResult returns the result for a reply other than 200. The outcome of a 5xx reply
// is unknown: the service reports its own timeouts this way, and a proxy may have lost
// the reply to a write that took effect.
func errorResult(resp *http.Response) callResult {
	var body v3json.Error
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxErrorBodyBytes)).Decode(&body)
	msg := body.Message
	if msg == "" {
		msg = resp.Status
	}
	result := callResult{status: statusRejected, code: body.Code, msg: msg}
	if resp.StatusCode >= http.StatusInternalServerError {
		result.status = statusLost
	}
	return result
}
