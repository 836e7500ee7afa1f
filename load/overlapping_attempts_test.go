package load

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/target"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

func TestOverlappingAttempts(t *testing.T) {
	at := func(s int) time.Time {
		if s == 0 {
			return time.Time{}
		}
		return time.Unix(int64(s), 0)
	}
	run := func(job string, attempt, start, end int) standin.TaskRun {
		return standin.TaskRun{TaskID: target.TaskID{Job: job, Attempt: attempt}, Start: at(start), End: at(end)}
	}
	for _, test := range []struct {
		name          string
		first, second standin.TaskRun
		want          int
	}{
		{"one after the other", run("j", 1, 10, 20), run("j", 2, 20, 30), 0},
		{"the later one is first in the logs", run("j", 2, 20, 30), run("j", 1, 10, 20), 0},
		{"began before the other's end", run("j", 1, 10, 21), run("j", 2, 20, 30), 1},
		{"the earlier one never ended", run("j", 1, 10, 0), run("j", 2, 20, 30), 1},
		{"the later one still runs", run("j", 1, 10, 20), run("j", 2, 20, 0), 0},
		{"members of one attempt", run("j", 1, 10, 20), run("j", 1, 10, 20), 0},
		{"different jobs", run("j", 1, 10, 20), run("k", 2, 10, 20), 0},
	} {
		got := OverlappingAttempts([]standin.Audit{
			{WorkerName: "a", Tasks: []standin.TaskRun{test.first}},
			{WorkerName: "b", Tasks: []standin.TaskRun{test.second}},
		})
		qt.Check(t, got, qt.HasLen, test.want, qt.Commentf(test.name))
	}
}
