package load

import (
	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

// reportedNotRun reports whether the caller can conclude from the try that the request did not
// run.
func reportedNotRun(t Try) bool {
	return t.NotSent || t.Answered && t.Outcome == api.OutcomeNotRun
}

func (f *Findings) auditQuick(q *QuickResult, runs []standin.QuickRun) {
	name := q.Account + "/" + q.Class + " " + q.Tag
	if q.Outcome() == "" && !allNotSent(q.Tries) {
		f.Lost.add("%s: no answer in %d tries: %s", name, len(q.Tries), lastError(q.Tries))
	}
	if !q.Repeatable && len(runs) > 1 {
		f.DuplicateRuns.add("%s: ran %d times, requests %s and %s", name, len(runs), runs[0].RequestID, runs[1].RequestID)
	}
	requestIDs := make([]string, len(runs))
	for i, run := range runs {
		requestIDs[i] = run.RequestID
	}
	if id, ok := findFalseNotRun(q.Tries, requestIDs); ok {
		f.Misreported.add("%s: request %s reported as not run, but ran", name, id)
	}
	for _, t := range q.Tries {
		f.auditDoneAnswer(name, t, runs)
	}
}

func (f *Findings) auditDoneAnswer(name string, t Try, runs []standin.QuickRun) {
	switch {
	case !t.Answered || t.Outcome != api.OutcomeDone:
	case t.BodyError != "":
		f.Misreported.add("%s: request %s reported as done: %s", name, t.RequestID, t.BodyError)
	case !completedWithChecksum(runs, t.Checksum):
		f.Misreported.add("%s: request %s reported as done, but no completed run gave that answer", name, t.RequestID)
	}
}

func completedWithChecksum(runs []standin.QuickRun, sum string) bool {
	for _, run := range runs {
		if run.Completed && run.Checksum == sum {
			return true
		}
	}
	return false
}

func allNotSent(tries []Try) bool {
	for _, t := range tries {
		if !t.NotSent {
			return false
		}
	}
	return len(tries) > 0
}

func lastError(tries []Try) string {
	if len(tries) == 0 {
		return "never sent"
	}
	return tries[len(tries)-1].TransportError
}
