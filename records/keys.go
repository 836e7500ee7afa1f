package records

import (
	"strings"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

const (
	rootPrefix   = "workloads/"
	inPrefix     = rootPrefix + "in/"
	jobPrefix    = inPrefix + "job/"
	cancelPrefix = inPrefix + "cancel/"
	runPrefix    = rootPrefix + "run/"
	workerPrefix = rootPrefix + "worker/"
	endedPrefix  = rootPrefix + "ended/"
)

func jobKey(id workload.JobID) string        { return jobPrefix + string(id) }
func cancelKey(id workload.JobID) string     { return cancelPrefix + string(id) }
func runKey(id workload.JobID) string        { return runPrefix + string(id) }
func endedKey(id workload.JobID) string      { return endedPrefix + string(id) }
func workerKey(id engine.WorkerID) string    { return workerPrefix + string(id) }
func idOf(key, prefix string) workload.JobID { return workload.JobID(strings.TrimPrefix(key, prefix)) }
