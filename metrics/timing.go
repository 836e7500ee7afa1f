package metrics

// Timing identifies a duration that is recorded for each client account and class. Where a
// timing ends with an outcome, its count is the number of those outcomes.
type Timing uint8

// Timings of quick requests and jobs.
const (
	// QuickDone is the time from the arrival of a quick request to its complete answer.
	QuickDone Timing = iota
	// QuickNotRun is the time from arrival to the answer that the request did not run.
	QuickNotRun
	// QuickUnknown is the time from arrival to the answer that the request may have run.
	QuickUnknown
	// QuickQueueTime is the time in the agent's queue.
	QuickQueueTime
	// QuickServiceTime is the time that the target took.
	QuickServiceTime
	// JobWaitTime is the time from the acceptance of a job to its first start.
	JobWaitTime
	// JobDone is the time from the acceptance of a job to its success.
	JobDone
	// JobFailed is the time from the acceptance of a job to its failure.
	JobFailed
	// JobCancelled is the time from the acceptance of a job to its end by cancellation.
	JobCancelled
	// JobRejected is the time from the acceptance of a job to its rejection.
	JobRejected
	// JobUnknown is the time from the acceptance of a job to the loss of its outcome.
	JobUnknown

	numTimings
)

const timingUnit = "microseconds"

var timingDescriptions = [numTimings]Description{
	QuickDone:        {"quick_done", timingUnit, "arrival of a quick request to its complete answer"},
	QuickNotRun:      {"quick_not_run", timingUnit, "arrival to the answer that it did not run"},
	QuickUnknown:     {"quick_unknown", timingUnit, "arrival to the answer that it may have run"},
	QuickQueueTime:   {"quick_queued", timingUnit, "wait in the agent's queue"},
	QuickServiceTime: {"quick_served", timingUnit, "service time of the target"},
	JobWaitTime:      {"job_waited", timingUnit, "acceptance of a job to its first start"},
	JobDone:          {"job_done", timingUnit, "acceptance of a job to its success"},
	JobFailed:        {"job_failed", timingUnit, "acceptance of a job to its failure"},
	JobCancelled:     {"job_cancelled", timingUnit, "acceptance of a job to its cancellation"},
	JobRejected:      {"job_rejected", timingUnit, "acceptance of a job to its rejection"},
	JobUnknown:       {"job_unknown", timingUnit, "acceptance of a job to the loss of its outcome"},
}

// Describe returns the name, unit and help text of the timing.
func (t Timing) Describe() Description {
	return timingDescriptions[t]
}

// Timings returns all timings.
func Timings() []Timing {
	return enumerate(numTimings)
}
