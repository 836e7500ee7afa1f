package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/membership"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// gangReport returns an agent's full report at a sequence. The agent runs a member of a gang from
// sequence 2 on.
func gangReport(sequence uint64) wire.AgentReport {
	r := wire.AgentReport{ID: "a", Incarnation: 1, Sequence: sequence, Full: true, Service: "dispatch"}
	if sequence > 1 {
		r.Tasks = []gang.Task{{ID: gang.ID{Job: "j", Epoch: 1, Number: 1}, State: gang.StateRunning, Members: 2}}
	}
	return r
}

// A report's timestamp dates the tasks of that report. With the tasks of another one it would prove
// that a member of a gang ran when it did not, and the rest of the gang would run on without it.
func TestTimestampDatesOnlyTasksOfItsReport(t *testing.T) {
	c := qt.New(t)
	answered := gang.PlannerTimestamp{Epoch: 1, At: 1000}
	unanswered := gangReport(1) // valid as of its receipt: the agent was never answered
	unappliedDelta := wire.AgentReport{ID: "a", Incarnation: 1, Sequence: 5, BaseSequence: 4, Changed: wire.ChangedTasks, PlannerTimestamp: answered}
	current := gangReport(2)
	current.PlannerTimestamp = answered
	withoutNews := wire.AgentReport{ID: "a", Incarnation: 1, Sequence: 2, BaseSequence: 2, PlannerTimestamp: answered}
	for _, test := range []struct {
		name   string
		report wire.AgentReport
		want   gang.PlannerTimestamp
	}{
		{"a report from before the task, handled late", unanswered, wire.InvalidPlannerTimestamp},
		{"a delta that could not be applied", unappliedDelta, wire.InvalidPlannerTimestamp},
		{"the report of the tasks", current, answered},
		{"a later report without news", withoutNews, answered},
	} {
		table := membership.NewTable(membership.Config{})
		table.Step(time.Unix(0, 0), membership.Reports{Batch: []wire.AgentReport{gangReport(2)}})
		table.Step(time.Unix(1, 0), membership.Reports{Batch: []wire.AgentReport{test.report}})
		member := table.Snapshot().Service("dispatch").Find("a")
		c.Check(timestampFor(member, &test.report), qt.Equals, test.want, qt.Commentf(test.name))
	}
}
