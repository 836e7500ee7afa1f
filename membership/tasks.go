package membership

import (
	"cmp"
	"slices"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

func compareTasks(a, b wire.TaskReport) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt))
}

// sameTask compares what an agent says of a task. Specs don't change within an
// attempt, and CheckpointAge alone is no reason for a report.
func sameTask(a, b wire.TaskReport) bool {
	return a.Job == b.Job &&
		a.Attempt == b.Attempt &&
		a.Epoch == b.Epoch &&
		a.State == b.State &&
		a.Reason == b.Reason &&
		slices.Equal(a.Accelerators, b.Accelerators) &&
		slices.Equal(a.Gang, b.Gang) &&
		slices.Equal(a.Result, b.Result)
}
