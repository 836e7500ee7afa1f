package load

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/target"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

func (f *Findings) auditJob(j *JobResult, runs []workerTask) {
	name := j.Account + "/" + j.Class + " " + j.Tag + " job " + j.ID
	attempts := groupByAttempt(runs)
	f.auditFinalState(name, j)
	f.auditNotRun(name, j, runs)
	f.auditDuplicateRuns(name, j, attempts)
	for _, a := range attempts {
		f.auditGang(name, a)
	}
	if j.State == api.JobDone {
		f.auditJobDone(name, j, attempts)
	}
}

func (f *Findings) auditFinalState(name string, j *JobResult) {
	switch {
	case j.ID != "" && !j.State.Final():
		f.Lost.add("%s: accepted, last observed state: %s", name, j.State)
	case j.ID == "" && outcomeOf(j.Submissions) == "" && !allNotSent(j.Submissions):
		f.Lost.add("%s: no answer to its submission: %s", name, lastError(j.Submissions))
	}
}

// auditNotRun reports a job that ran although its caller was told that it did not.
func (f *Findings) auditNotRun(name string, j *JobResult, runs []workerTask) {
	if len(runs) == 0 {
		return
	}
	toldNotRun := j.State == api.JobRejected ||
		j.State == api.JobCancelled && j.Reason != "" && j.Reason.Outcome() == api.OutcomeNotRun ||
		j.ID == "" && allReportedNotRun(j.Submissions)
	if toldNotRun {
		f.Misreported.add("%s: reported as not run (%s %s), but ran on %s", name, j.State, j.Reason, runs[0].worker)
	}
}

// attemptRuns holds the task runs of one attempt of a job.
type attemptRuns struct {
	target.TaskID
	members int
	runs    []workerTask
}

func groupByAttempt(runs []workerTask) []attemptRuns {
	found := map[target.TaskID]*attemptRuns{}
	for _, r := range runs {
		a := found[r.TaskID]
		if a == nil {
			a = &attemptRuns{TaskID: r.TaskID, members: r.Members}
			found[r.TaskID] = a
		}
		a.runs = append(a.runs, r)
	}
	var list []attemptRuns
	for _, id := range slices.SortedFunc(maps.Keys(found), compareTaskIDs) {
		list = append(list, *found[id])
	}
	return list
}

func compareTaskIDs(a, b target.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt))
}

// countMembers returns the number of distinct members that have a run for which ok is true.
func (a *attemptRuns) countMembers(ok func(workerTask) bool) int {
	seen := map[int]bool{}
	for _, r := range a.runs {
		if ok(r) {
			seen[r.Member] = true
		}
	}
	return len(seen)
}

func (a *attemptRuns) startedMembers() int {
	return a.countMembers(func(workerTask) bool { return true })
}

func (a *attemptRuns) completedMembers() int {
	return a.countMembers(func(r workerTask) bool { return r.Outcome == target.TaskDone })
}

func (f *Findings) auditGang(name string, a attemptRuns) {
	if n := a.startedMembers(); n < a.members {
		f.PartialGangs.add("%s attempt %d: %d of %d members ever started", name, a.Attempt, n, a.members)
	}
	if n := len(a.runs); n > a.startedMembers() {
		f.DuplicateRuns.add("%s attempt %d: %d runs of %d members", name, a.Attempt, n, a.startedMembers())
	}
}

func (f *Findings) auditDuplicateRuns(name string, j *JobResult, attempts []attemptRuns) {
	for i := 1; i < len(attempts); i++ {
		previous, a := &attempts[i-1], &attempts[i]
		switch {
		case a.Job != previous.Job:
			f.DuplicateRuns.add("%s: one submission ran as jobs %s and %s", name, previous.Job, a.Job)
		case !j.Repeatable && repeatsWork(attempts[:i], a):
			f.DuplicateRuns.add("%s: not repeatable, attempt %d repeats work of an earlier one", name, a.Attempt)
		}
	}
}

// repeatsWork reports whether a, with all members started, repeats work of an earlier attempt
// that also started completely. An attempt that resumes every member from the progress that
// the earlier one reached repeats nothing.
func repeatsWork(earlier []attemptRuns, a *attemptRuns) bool {
	if a.startedMembers() < a.members {
		return false
	}
	for _, e := range earlier {
		if e.Job == a.Job && e.startedMembers() == e.members && !resumesProgress(e.runs, a.runs) {
			return true
		}
	}
	return false
}

func resumesProgress(earlier, later []workerTask) bool {
	reached := map[int]int64{}
	for _, r := range earlier {
		reached[r.Member] = max(reached[r.Member], r.ProgressMS)
	}
	for _, r := range later {
		if r.RestoredMS == 0 || r.RestoredMS < reached[r.Member] {
			return false
		}
	}
	return true
}

func (f *Findings) auditJobDone(name string, j *JobResult, attempts []attemptRuns) {
	mostCompleted := 0
	for _, a := range attempts {
		n := a.completedMembers()
		if n == a.members {
			f.auditResultOwner(name, j)
			return
		}
		mostCompleted = max(mostCompleted, n)
	}
	if mostCompleted > 0 {
		f.PartialGangs.add("%s: reported as done, but only %d members completed in its best attempt", name, mostCompleted)
		return
	}
	f.Misreported.add("%s: reported as done, but no member completed", name)
}

// auditResultOwner reports a result that belongs to another job.
func (f *Findings) auditResultOwner(name string, j *JobResult) {
	var taskResults []standin.TaskResult
	if len(j.Result) == 0 || json.Unmarshal(j.Result, &taskResults) != nil {
		return // the result carries no tags
	}
	for _, p := range taskResults {
		if p.Tag != "" && p.Tag != j.Tag {
			f.Misreported.add("%s: reported with the result of %s", name, p.Tag)
			return
		}
	}
}
