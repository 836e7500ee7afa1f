package api

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

// SubmitJob submits a job. With an idempotency key it may be repeated, also through
// another entry. Errors are a *Problem, or wrap ErrNotSent or ErrOutcomeUnknown.
func (c *Client) SubmitJob(ctx context.Context, service string, r JobRequest, key string) (JobStatus, error) {
	h := http.Header{}
	if key != "" {
		h.Set(HeaderIdempotencyKey, key)
	}
	var st JobStatus
	err := c.doJSON(ctx, http.MethodPost, JobsPath(service), h, r, &st)
	return st, err
}

// GetJob returns the status of a job. If wait is positive, the entry delays its answer by
// up to wait, until the job has ended.
func (c *Client) GetJob(ctx context.Context, service, id string, wait time.Duration) (JobStatus, error) {
	path := JobPath(service, id)
	if wait > 0 {
		path += "?" + ParamWait + "=" + url.QueryEscape(wait.String())
	}
	var st JobStatus
	err := c.doJSON(ctx, http.MethodGet, path, nil, nil, &st)
	return st, err
}

// CancelJob requests the cancellation of a job and returns the status at its acceptance.
// It may be repeated.
func (c *Client) CancelJob(ctx context.Context, service, id string) (JobStatus, error) {
	var st JobStatus
	err := c.doJSON(ctx, http.MethodDelete, JobPath(service, id), nil, nil, &st)
	return st, err
}

// CancelJobs requests the cancellation of up to MaxCancelIDs jobs.
func (c *Client) CancelJobs(ctx context.Context, service string, ids []string) (CancelResponse, error) {
	var resp CancelResponse
	err := c.doJSON(ctx, http.MethodPost, CancelPath(service), nil, CancelRequest{IDs: ids}, &resp)
	return resp, err
}

// Status returns the status of the entry.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var st Status
	err := c.doJSON(ctx, http.MethodGet, PathStatus, nil, nil, &st)
	return st, err
}

// Ready returns nil if the entry accepts new work.
func (c *Client) Ready(ctx context.Context) error {
	return c.doJSON(ctx, http.MethodGet, PathReadyz, nil, nil, nil)
}
