package api

import "net/url"

// Paths that don't belong to a service.
const (
	// PathHealthz answers 200 while the process runs.
	PathHealthz = "/healthz"
	// PathReadyz answers 200 while the entry accepts new work, else 503.
	PathReadyz = "/readyz"
	// PathStatus answers a Status.
	PathStatus = "/v1/status"
)

// Route patterns of an entry, in the syntax of goji's pat package.
const (
	RouteRequests   = "/v1/services/:service/requests/*"
	RouteJobs       = "/v1/services/:service/jobs"
	RouteJob        = "/v1/services/:service/jobs/:id"
	RouteCancelJobs = "/v1/services/:service/jobs:cancel"
	RouteReport     = "/v1/services/:service/report"
	RouteJobReport  = "/v1/services/:service/jobs/:id/report"
)

// ParamWait is the query parameter of a job's status: how long the entry may
// hold the answer until the job ends, as a Go duration.
const ParamWait = "wait"

func servicePath(service string) string {
	return "/v1/services/" + url.PathEscape(service)
}

// RequestPath is the path of a quick request. path is forwarded to the target
// as given, without its leading slash.
func RequestPath(service, path string) string {
	return servicePath(service) + "/requests/" + path
}

// JobsPath is the path that accepts jobs of the service.
func JobsPath(service string) string {
	return servicePath(service) + "/jobs"
}

// JobPath is the path of one job, as given in Location.
func JobPath(service, id string) string {
	return JobsPath(service) + "/" + url.PathEscape(id)
}

// CancelPath is the path that cancels many jobs at once.
func CancelPath(service string) string {
	return JobsPath(service) + ":cancel"
}

// ReportPath is the path of a service's Report.
func ReportPath(service string) string {
	return servicePath(service) + "/report"
}

// JobReportPath is the path of one job's JobReport.
func JobReportPath(service, id string) string {
	return JobPath(service, id) + "/report"
}
