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

const unitTiming = "microseconds"

var timings = [numTimings]Description{
	QuickDone:        {"quick_done", unitTiming, "arrival of a quick request to its whole answer"},
	QuickNotRun:      {"quick_not_run", unitTiming, "arrival to the word that it did not run"},
	QuickUnknown:     {"quick_unknown", unitTiming, "arrival to the word that it may have run"},
	QuickQueueTime:   {"quick_queued", unitTiming, "wait in the agent's queue"},
	QuickServiceTime: {"quick_served", unitTiming, "time the target took"},
	JobWaitTime:      {"job_waited", unitTiming, "acceptance of a job to its first start"},
	JobDone:          {"job_done", unitTiming, "acceptance of a job to its success"},
	JobFailed:        {"job_failed", unitTiming, "acceptance of a job to its failure"},
	JobCancelled:     {"job_cancelled", unitTiming, "acceptance of a job to its cancelled end"},
	JobRejected:      {"job_rejected", unitTiming, "acceptance of a job to its rejection"},
	JobUnknown:       {"job_unknown", unitTiming, "acceptance of a job to the loss of its outcome"},
}

// Describe returns what the timing means.
func (t Timing) Describe() Description {
	return timings[t]
}

// Timings lists all timings.
func Timings() []Timing {
	return upTo(numTimings)
}
