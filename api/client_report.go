package api

import (
	"context"
	"net/http"
)

// Report returns what the planner of a service knows. The error is a *Problem,
// ErrNotSent or ErrOutcomeUnknown; it may be asked again.
func (c *Client) Report(ctx context.Context, service string) (Report, error) {
	var r Report
	err := c.doJSON(ctx, http.MethodGet, ReportPath(service), nil, nil, &r)
	return r, err
}

// JobReport returns why a job waits. Errors are as of Report.
func (c *Client) JobReport(ctx context.Context, service, id string) (JobReport, error) {
	var r JobReport
	err := c.doJSON(ctx, http.MethodGet, JobReportPath(service, id), nil, nil, &r)
	return r, err
}
