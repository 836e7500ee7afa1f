package api

import "net/url"

// Paths of the entry itself.
const (
	// PathHealthz returns 200 while the process runs.
	PathHealthz = "/healthz"
	// PathReadyz returns 200 while the entry accepts new work, and 503 otherwise.
	PathReadyz = "/readyz"
	// PathStatus returns a Status.
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

// ParamWait is the query parameter of a job's status for how long the entry may delay its
// answer until the job has ended, as a Go duration.
const ParamWait = "wait"

func servicePath(service string) string {
	return "/v1/services/" + url.PathEscape(service)
}

// RequestPath returns the path of a quick request. path is passed to the target unchanged;
// it has no leading slash.
func RequestPath(service, path string) string {
	return servicePath(service) + "/requests/" + path
}

// JobsPath returns the path to which jobs of the service are submitted.
func JobsPath(service string) string {
	return servicePath(service) + "/jobs"
}

// JobPath returns the path of one job, as in the Location header.
func JobPath(service, id string) string {
	return JobsPath(service) + "/" + url.PathEscape(id)
}

// CancelPath returns the path that cancels several jobs at once.
func CancelPath(service string) string {
	return JobsPath(service) + ":cancel"
}

// ReportPath returns the path of a service's Report.
func ReportPath(service string) string {
	return servicePath(service) + "/report"
}

// JobReportPath returns the path of a JobReport.
func JobReportPath(service, id string) string {
	return JobPath(service, id) + "/report"
}
