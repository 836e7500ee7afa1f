package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// StartTask starts the task, or returns the status of the same task if it was started
// before, so it may be repeated after ErrOutcomeUnknown. It fails with ErrConflict and
// starts nothing if the ID belongs to a task with a different spec, an accelerator is in
// use, or the epoch or the agent's incarnation is older than one the target has received.
func (c *Client) StartTask(ctx context.Context, id TaskID, spec TaskSpec) (TaskStatus, error) {
	var st TaskStatus
	err := c.callJSON(ctx, http.MethodPut, id.Path(), spec, &st)
	return st, err
}

// ListTasks lists all running tasks and those that ended last. From then on the target
// refuses starts of earlier incarnations of the agent that are not in the list.
func (c *Client) ListTasks(ctx context.Context, incarnation uint64) ([]TaskStatus, error) {
	path := PathTasks + "?" + ParamIncarnation + "=" + strconv.FormatUint(incarnation, 10)
	var list []TaskStatus
	err := c.callJSON(ctx, http.MethodGet, path, nil, &list)
	return list, err
}

// GetTask returns a task's status. The target holds the call up to wait until the task
// ends.
func (c *Client) GetTask(ctx context.Context, id TaskID, wait time.Duration) (TaskStatus, error) {
	path := id.Path()
	if wait > 0 {
		path += "?" + ParamWaitMS + "=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	var st TaskStatus
	err := c.callJSON(ctx, http.MethodGet, path, nil, &st)
	return st, err
}

// RenewTask sets the lease to end after the given duration from now. For a task that has
// ended it returns the status without an error.
func (c *Client) RenewTask(ctx context.Context, id TaskID, lease time.Duration) (TaskStatus, error) {
	var st TaskStatus
	err := c.callJSON(ctx, http.MethodPost, id.Path()+"/renew", LeaseRenewal{LeaseMS: lease.Milliseconds()}, &st)
	return st, err
}

// CheckpointTask takes a checkpoint and returns the status that contains it.
func (c *Client) CheckpointTask(ctx context.Context, id TaskID) (TaskStatus, error) {
	var st TaskStatus
	err := c.callJSON(ctx, http.MethodPost, id.Path()+"/checkpoint", nil, &st)
	return st, err
}

// StopTask stops the task, after taking a checkpoint if requested, and returns its final
// status. It does not change a task that has ended. An unknown task is recorded as
// stopped, so that a start that arrives late does not run.
func (c *Client) StopTask(ctx context.Context, id TaskID, checkpoint bool) (TaskStatus, error) {
	path := id.Path()
	if checkpoint {
		path += "?" + ParamCheckpoint + "=true"
	}
	var st TaskStatus
	err := c.callJSON(ctx, http.MethodDelete, path, nil, &st)
	return st, err
}

// Capacity returns the worker's total capacity.
func (c *Client) Capacity(ctx context.Context) (Capacity, error) {
	var v Capacity
	err := c.callJSON(ctx, http.MethodGet, PathCapacity, nil, &v)
	return v, err
}

// Usage returns the worker's usage at Usage.SampledAt.
func (c *Client) Usage(ctx context.Context) (Usage, error) {
	var v Usage
	err := c.callJSON(ctx, http.MethodGet, PathUsage, nil, &v)
	return v, err
}

// callJSON sends a request with a JSON body and decodes the JSON response. All calls are
// idempotent, so net/http may retry them.
func (c *Client) callJSON(ctx context.Context, method, path string, input, output any) error {
	var body io.Reader
	if input != nil {
		data, err := json.Marshal(input)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req.Header.Set("Content-Type", "application/json")
	var tracker sendTracker
	resp, err := c.transport.RoundTrip(req.WithContext(tracker.withTrace(ctx)))
	if err != nil {
		if tracker.notSent() {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	defer resp.Body.Close()
	respBody, err := c.readBody(method, resp)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return decodeResponse(resp.StatusCode, respBody, output)
}

func decodeResponse(status int, body []byte, output any) error {
	switch status {
	case http.StatusOK:
		if err := json.Unmarshal(body, output); err != nil {
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		return nil
	case http.StatusNotFound:
		return ErrUnknownTask
	case http.StatusConflict:
		return fmt.Errorf("%w: %s", ErrConflict, strings.TrimSpace(string(body)))
	case http.StatusBadRequest, http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d: %s", ErrRefused, status, strings.TrimSpace(string(body)))
	}
	return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
}
