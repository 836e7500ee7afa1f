package agent

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// taskReports is the member's account of its attempts as reports carry it.
func taskReports(tasks []gang.Task) []wire.TaskReport {
	out := make([]wire.TaskReport, 0, len(tasks))
	for _, t := range tasks {
		t.RunUntil = 0 // it moves with each contact, which is no news to a planner
		data, err := cbor.Marshal(t)
		if err != nil {
			panic("agent: a task can't be encoded: " + err.Error())
		}
		out = append(out, wire.TaskReport{
			Job:          t.ID.Job,
			Attempt:      attemptName(t.ID),
			Epoch:        t.ID.Epoch,
			Accelerators: t.Accelerators,
			Gang:         data,
		})
	}
	return out
}
