package api

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

// SubmitJob submits a job. With a key it may be repeated, also through another
// entry. The error is a *Problem, ErrNotSent or ErrOutcomeUnknown.
func (c *Client) SubmitJob(ctx context.Context, service string, r JobRequest, key string) (JobStatus, error) {
	h := http.Header{}
	if key != "" {
		h.Set(HeaderIdempotencyKey, key)
	}
	var st JobStatus
	err := c.doJSON(ctx, http.MethodPost, JobsPath(service), h, r, &st)
	return st, err
}

// GetJob returns the status of a job, held up to wait until the job ends.
func (c *Client) GetJob(ctx context.Context, service, id string, wait time.Duration) (JobStatus, error) {
	path := JobPath(service, id)
	if wait > 0 {
		path += "?" + ParamWait + "=" + url.QueryEscape(wait.String())
	}
	var st JobStatus
	err := c.doJSON(ctx, http.MethodGet, path, nil, nil, &st)
	return st, err
}

// CancelJob asks to cancel a job; it may be repeated. The status comes back as it
// was when the cancellation was accepted.
func (c *Client) CancelJob(ctx context.Context, service, id string) (JobStatus, error) {
	var st JobStatus
	err := c.doJSON(ctx, http.MethodDelete, JobPath(service, id), nil, nil, &st)
	return st, err
}

// CancelJobs asks to cancel up to MaxCancelIDs jobs.
func (c *Client) CancelJobs(ctx context.Context, service string, ids []string) (CancelResponse, error) {
	var resp CancelResponse
	err := c.doJSON(ctx, http.MethodPost, CancelPath(service), nil, CancelRequest{IDs: ids}, &resp)
	return resp, err
}

// Status returns the entry's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var st Status
	err := c.doJSON(ctx, http.MethodGet, PathStatus, nil, nil, &st)
	return st, err
}

// Ready returns nil when the entry accepts new work.
func (c *Client) Ready(ctx context.Context) error {
	return c.doJSON(ctx, http.MethodGet, PathReadyz, nil, nil, nil)
}
