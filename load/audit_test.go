package load

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/target"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

func answeredTry(id string, o api.Outcome) Try {
	return Try{Answered: true, RequestID: id, Outcome: o, Checksum: "sum"}
}

func quickRun(id string) standin.QuickRun {
	return standin.QuickRun{RequestID: id, Tag: "t", Completed: true, Checksum: "sum"}
}

type findingCounts struct{ lost, duplicateRuns, misreported, partialGangs int }

func countFindings(f Findings) findingCounts {
	return findingCounts{f.Lost.Count, f.DuplicateRuns.Count, f.Misreported.Count, f.PartialGangs.Count}
}

func TestAuditOfQuickRequests(t *testing.T) {
	done, notRun, unknown := answeredTry("r1", api.OutcomeDone), answeredTry("r1", api.OutcomeNotRun), answeredTry("r1", api.OutcomeUnknown)
	incompleteRun := quickRun("r1")
	incompleteRun.Completed = false
	wrongBody := done
	wrongBody.BodyError = "body answers another"
	wrongChecksum := done
	wrongChecksum.Checksum = "another"
	type runs = []standin.QuickRun
	for name, tc := range map[string]struct {
		repeatable bool
		tries      []Try
		runs       runs
		want       findingCounts
	}{
		"done once":                           {false, []Try{done}, runs{quickRun("r1")}, findingCounts{}},
		"not run":                             {false, []Try{notRun}, nil, findingCounts{}},
		"unknown, ran":                        {false, []Try{unknown}, runs{quickRun("r1")}, findingCounts{}},
		"no connection at all":                {false, []Try{{NotSent: true}}, nil, findingCounts{}},
		"no answer":                           {false, []Try{{}, {}}, nil, findingCounts{lost: 1}},
		"never tried":                         {false, nil, nil, findingCounts{lost: 1}},
		"no answer, then done":                {false, []Try{{}, done}, runs{quickRun("r1")}, findingCounts{}},
		"ran twice":                           {false, []Try{done}, runs{quickRun("r1"), quickRun("r2")}, findingCounts{duplicateRuns: 1}},
		"ran twice, repeatable":               {true, []Try{done}, runs{quickRun("r1"), quickRun("r2")}, findingCounts{}},
		"reported as not run, ran":            {true, []Try{notRun}, runs{quickRun("r9")}, findingCounts{misreported: 1}},
		"reported as not run, ran partly":     {true, []Try{notRun}, runs{incompleteRun}, findingCounts{misreported: 1}},
		"reported as not sent, ran":           {true, []Try{{NotSent: true}}, runs{quickRun("r1")}, findingCounts{misreported: 1}},
		"one entry refused, the other ran it": {false, []Try{answeredTry("r2", api.OutcomeNotRun), done}, runs{quickRun("r1")}, findingCounts{}},
		"refused try ran in addition to the done one":      {true, []Try{answeredTry("r2", api.OutcomeNotRun), done}, runs{quickRun("r1"), quickRun("r2")}, findingCounts{misreported: 1}},
		"reported as done, never ran":                      {true, []Try{done}, nil, findingCounts{misreported: 1}},
		"reported as done, run incomplete":                 {true, []Try{done}, runs{incompleteRun}, findingCounts{misreported: 1}},
		"reported as done with another request's answer":   {true, []Try{wrongBody}, runs{quickRun("r1")}, findingCounts{misreported: 1}},
		"reported as done with an answer that no run gave": {true, []Try{wrongChecksum}, runs{quickRun("r1")}, findingCounts{misreported: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			r := Result{Quick: []QuickResult{{Tag: "t", Repeatable: tc.repeatable, Tries: tc.tries}}}
			f := Audit(r, []standin.Audit{{Quick: tc.runs}})
			qt.Check(t, countFindings(f), qt.Equals, tc.want, qt.Commentf("%+v", f))
			qt.Check(t, f.Clean(), qt.Equals, tc.want == findingCounts{})
		})
	}
}

// memberRun is the run of one member of a gang of two, with its restored and reached progress
// in milliseconds.
func memberRun(job string, attempt, member int, o target.TaskState, restored, reached int64) standin.TaskRun {
	return standin.TaskRun{TaskID: target.TaskID{Job: job, Attempt: attempt}, Tag: "t",
		Member: member, Members: 2, Outcome: o, RestoredMS: restored, ProgressMS: reached}
}

func TestAuditOfJobs(t *testing.T) {
	const ok, stopped = target.TaskDone, target.TaskStopped
	type runs = []standin.TaskRun
	gang := func(attempt int, o target.TaskState, restored, reached int64) runs {
		return runs{memberRun("a", attempt, 0, o, restored, reached), memberRun("a", attempt, 1, o, restored, reached)}
	}
	accepted := []Try{answeredTry("a", api.OutcomeDone)}
	job := func(s api.JobState) JobResult { return JobResult{ID: "a", State: s, Submissions: accepted} }
	repeatableJob := job(api.JobDone)
	repeatableJob.Repeatable = true
	wrongResult := job(api.JobDone)
	wrongResult.Result = []byte(`[{"tag":"t"},{"tag":"other"}]`)
	cancelledBeforeStart := job(api.JobCancelled)
	cancelledBeforeStart.Reason = api.ReasonCancelledBeforeStart
	for name, tc := range map[string]struct {
		job  JobResult
		runs runs
		want findingCounts
	}{
		"done":                            {job(api.JobDone), gang(1, ok, 0, 9), findingCounts{}},
		"rejected":                        {job(api.JobRejected), nil, findingCounts{}},
		"still running":                   {job(api.JobRunning), gang(1, target.TaskRunning, 0, 0), findingCounts{lost: 1}},
		"submission without an answer":    {JobResult{Submissions: []Try{{}}}, nil, findingCounts{lost: 1}},
		"submission refused":              {JobResult{Submissions: []Try{answeredTry("", api.OutcomeNotRun)}}, nil, findingCounts{}},
		"submission refused, ran":         {JobResult{Submissions: []Try{answeredTry("", api.OutcomeNotRun)}}, gang(1, ok, 0, 9), findingCounts{misreported: 1}},
		"rejected, ran":                   {job(api.JobRejected), gang(1, ok, 0, 9), findingCounts{misreported: 1}},
		"cancelled before start, ran":     {cancelledBeforeStart, gang(1, stopped, 0, 2), findingCounts{misreported: 1}},
		"cancelled while running":         {job(api.JobCancelled), gang(1, stopped, 0, 2), findingCounts{}},
		"reported as done, stopped":       {job(api.JobDone), gang(1, stopped, 0, 2), findingCounts{misreported: 1}},
		"reported as done, never ran":     {job(api.JobDone), nil, findingCounts{misreported: 1}},
		"result of another job":           {wrongResult, gang(1, ok, 0, 9), findingCounts{misreported: 1}},
		"done, one member stopped":        {job(api.JobDone), runs{memberRun("a", 1, 0, ok, 0, 9), memberRun("a", 1, 1, stopped, 0, 4)}, findingCounts{partialGangs: 1}},
		"failed, one member only started": {job(api.JobFailed), gang(1, ok, 0, 9)[:1], findingCounts{partialGangs: 1}},
		"ran twice":                       {job(api.JobDone), append(gang(1, stopped, 0, 5), gang(2, ok, 0, 9)...), findingCounts{duplicateRuns: 1}},
		"ran twice, repeatable":           {repeatableJob, append(gang(1, stopped, 0, 5), gang(2, ok, 0, 9)...), findingCounts{}},
		"resumed where it ended":          {job(api.JobDone), append(gang(1, stopped, 0, 5), gang(2, ok, 5, 9)...), findingCounts{}},
		"resumed before where it ended":   {job(api.JobDone), append(gang(1, stopped, 0, 5), gang(2, ok, 3, 9)...), findingCounts{duplicateRuns: 1}},
		"one submission, two jobs":        {repeatableJob, append(gang(1, ok, 0, 9), memberRun("b", 1, 0, ok, 0, 9), memberRun("b", 1, 1, ok, 0, 9)), findingCounts{duplicateRuns: 1}},
		"one member started twice":        {repeatableJob, append(gang(1, ok, 0, 9), memberRun("a", 1, 1, ok, 0, 9)), findingCounts{duplicateRuns: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			tc.job.Tag = "t"
			f := Audit(Result{Jobs: []JobResult{tc.job}}, []standin.Audit{{Tasks: tc.runs}})
			qt.Check(t, countFindings(f), qt.Equals, tc.want, qt.Commentf("%+v", f))
		})
	}
}

func TestAuditIncludesWorkerRecords(t *testing.T) {
	a := standin.Audit{Violations: make([]standin.Violation, 9), Dropped: 1}
	f := Audit(Result{}, []standin.Audit{a})
	qt.Check(t, f.Violations.Count, qt.Equals, 9)
	qt.Check(t, len(f.Violations.Examples), qt.Equals, maxExamples)
	qt.Check(t, f.IncompleteAudits.Count, qt.Equals, 1)
	qt.Check(t, f.Clean(), qt.IsFalse)
}

func TestPercentilesByNearestRank(t *testing.T) {
	var list []time.Duration
	for i := 100; i > 0; i-- {
		list = append(list, time.Duration(i)*time.Millisecond)
	}
	qt.Check(t, formatPercentiles(list), qt.Equals, "50.0ms\t90.0ms\t99.0ms")
	qt.Check(t, formatPercentiles(list[:1]), qt.Equals, "1.0ms\t1.0ms\t1.0ms")
}
