package metrics

// Timing names a duration observed for each client account and class. The
// count of a timing that ends with an outcome is the number of those outcomes.
type Timing uint8

// Timings.
const (
	// QuickDone is from the arrival of a quick request to its whole answer.
	QuickDone Timing = iota
	// QuickNotRun is from the arrival to the word that it did not run.
	QuickNotRun
	// QuickUnknown is from the arrival to the word that it may have run.
	QuickUnknown
	// QuickQueueTime is the wait in the agent's queue.
	QuickQueueTime
	// QuickServiceTime is the time the target took.
	QuickServiceTime
	// JobWaitTime is from the acceptance of a job to its first start.
	JobWaitTime
	// JobDone is from the acceptance of a job to its success.
	JobDone
	// JobFailed is from the acceptance of a job to its failure.
	JobFailed
	// JobCancelled is from the acceptance of a job to its cancelled end.
	JobCancelled
	// JobRejected is from the acceptance of a job to its rejection.
	JobRejected
	// JobUnknown is from the acceptance of a job to the loss of its outcome.
	JobUnknown

	numTimings
)

const timingUnit = "microseconds"

var timingDescriptions = [numTimings]Description{
	QuickDone:        {"quick_done", timingUnit, "arrival of a quick request to its whole answer"},
	QuickNotRun:      {"quick_not_run", timingUnit, "arrival to the word that it did not run"},
	QuickUnknown:     {"quick_unknown", timingUnit, "arrival to the word that it may have run"},
	QuickQueueTime:   {"quick_queued", timingUnit, "wait in the agent's queue"},
	QuickServiceTime: {"quick_served", timingUnit, "time the target took"},
	JobWaitTime:      {"job_waited", timingUnit, "acceptance of a job to its first start"},
	JobDone:          {"job_done", timingUnit, "acceptance of a job to its success"},
	JobFailed:        {"job_failed", timingUnit, "acceptance of a job to its failure"},
	JobCancelled:     {"job_cancelled", timingUnit, "acceptance of a job to its cancelled end"},
	JobRejected:      {"job_rejected", timingUnit, "acceptance of a job to its rejection"},
	JobUnknown:       {"job_unknown", timingUnit, "acceptance of a job to the loss of its outcome"},
}

// Describe returns what the timing means.
func (t Timing) Describe() Description {
	return timingDescriptions[t]
}

// Timings lists all timings.
func Timings() []Timing {
	return enumerate(numTimings)
}
