package load

import (
	"fmt"

	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

// OverlappingAttempts describes each pair of runs of different attempts of the same job that
// overlap in time by the workers' logs. A run without an end overlaps every later one.
func OverlappingAttempts(audits []standin.Audit) []string {
	byJob := make(map[string][]workerTask)
	var overlaps []string
	for _, a := range audits {
		for _, run := range a.Tasks {
			current := workerTask{run, a.WorkerName}
			for _, other := range byJob[run.Job] {
				if run.Attempt != other.Attempt && overlap(current, other) {
					overlaps = append(overlaps, fmt.Sprintf("job %s: attempt %d on %s and attempt %d on %s ran at once",
						run.Job, run.Attempt, current.worker, other.Attempt, other.worker))
				}
			}
			byJob[run.Job] = append(byJob[run.Job], current)
		}
	}
	return overlaps
}

func overlap(a, b workerTask) bool {
	return !endedBefore(a, b) && !endedBefore(b, a)
}

func endedBefore(a, b workerTask) bool {
	return !a.End.IsZero() && !a.End.After(b.Start)
}
