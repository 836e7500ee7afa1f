package records

import (
	"strings"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

const (
	rootPrefix       = "workloads/"
	submissionPrefix = rootPrefix + "in/"
	jobPrefix        = submissionPrefix + "job/"
	cancelPrefix     = submissionPrefix + "cancel/"
	runPrefix        = rootPrefix + "run/"
	workerPrefix     = rootPrefix + "worker/"
	outcomePrefix    = rootPrefix + "ended/"
)

func jobKey(id workload.JobID) string     { return jobPrefix + string(id) }
func cancelKey(id workload.JobID) string  { return cancelPrefix + string(id) }
func runKey(id workload.JobID) string     { return runPrefix + string(id) }
func outcomeKey(id workload.JobID) string { return outcomePrefix + string(id) }
func workerKey(id engine.WorkerID) string { return workerPrefix + string(id) }
func jobIDOf(key, prefix string) workload.JobID {
	return workload.JobID(strings.TrimPrefix(key, prefix))
}
