package load

import (
	"slices"

	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

// Audit compares what callers were told with what ran. audits must come from all workers of
// the service and be taken after the run; otherwise completed work looks as if it never ran.
// Runs whose tag is not in the result are ignored.
func Audit(r Result, audits []standin.Audit) Findings {
	var f Findings
	quick := map[string][]standin.QuickRun{}
	tasks := map[string][]workerTask{}
	for _, a := range audits {
		for _, run := range a.Quick {
			quick[run.Tag] = append(quick[run.Tag], run)
		}
		for _, run := range a.Tasks {
			tasks[run.Tag] = append(tasks[run.Tag], workerTask{run, a.WorkerName})
		}
		f.addWorkerRecords(a)
	}
	for i := range r.Quick {
		f.auditQuick(&r.Quick[i], quick[r.Quick[i].Tag])
	}
	for i := range r.Jobs {
		f.auditJob(&r.Jobs[i], tasks[r.Jobs[i].Tag])
	}
	return f
}

// workerTask is a task run and the name of its worker.
type workerTask struct {
	standin.TaskRun
	worker string
}

func (f *Findings) addWorkerRecords(a standin.Audit) {
	for _, v := range a.Violations {
		f.Violations.add("worker %s: %s: %s", a.WorkerName, v.Kind, v.Detail)
	}
	if a.Dropped > 0 {
		f.IncompleteAudits.add("worker %s: %d records dropped", a.WorkerName, a.Dropped)
	}
}

// findFalseNotRun returns the request ID of a try that was reported as not run although its
// request ran. A run through another entry belongs to that entry's try, so a run contradicts a
// try only if the ID belongs to that try alone, or if every try was reported as not run.
func findFalseNotRun(tries []Try, ranIDs []string) (string, bool) {
	if len(ranIDs) == 0 {
		return "", false
	}
	if allReportedNotRun(tries) {
		return tries[0].RequestID, true
	}
	for i, t := range tries {
		if reportedNotRun(t) && t.RequestID != "" && !hasSharedRequestID(tries, i) && slices.Contains(ranIDs, t.RequestID) {
			return t.RequestID, true
		}
	}
	return "", false
}

func allReportedNotRun(tries []Try) bool {
	for _, t := range tries {
		if !reportedNotRun(t) {
			return false
		}
	}
	return len(tries) > 0
}

func hasSharedRequestID(tries []Try, i int) bool {
	for k, t := range tries {
		if k != i && t.RequestID == tries[i].RequestID {
			return true
		}
	}
	return false
}
