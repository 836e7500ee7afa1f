package api

import (
	"context"
	"net/http"
)

// Report returns the planner's report on a service. Errors are a *Problem, or wrap
// ErrNotSent or ErrOutcomeUnknown. The call may be repeated.
func (c *Client) Report(ctx context.Context, service string) (Report, error) {
	var r Report
	err := c.doJSON(ctx, http.MethodGet, ReportPath(service), nil, nil, &r)
	return r, err
}

// JobReport returns why a job waits. Errors are those of Report.
func (c *Client) JobReport(ctx context.Context, service, id string) (JobReport, error) {
	var r JobReport
	err := c.doJSON(ctx, http.MethodGet, JobReportPath(service, id), nil, nil, &r)
	return r, err
}
