package nodeagent

import (
	"maps"
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// unansweredStarts holds the runs with a start call that is in progress or got no answer, with the time
// of the last one. The agent's mutex guards it.
type unansweredStarts map[workload.RunID]time.Duration

// add adds a run that is called to start now, and drops those whose calls are over.
func (u unansweredStarts) add(run workload.RunID, now time.Duration) {
	maps.DeleteFunc(u, func(_ workload.RunID, calledAt time.Duration) bool { return now-calledAt > engine.MaxCallDelay })
	u[run] = now
}

// list returns the runs whose calls may still be carried out.
func (u unansweredStarts) list(now time.Duration) []workload.RunID {
	var runs []workload.RunID
	for run, calledAt := range u {
		if now-calledAt <= engine.MaxCallDelay {
			runs = append(runs, run)
		}
	}
	return runs
}

// endStart notes that no further call to start a run is sent.
func (a *Agent) endStart(run workload.RunID, unanswered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if unanswered {
		a.unansweredStarts.add(run, now())
	} else {
		delete(a.unansweredStarts, run)
	}
}

// reportStarts states in a report which starts are unanswered, also those sent to an earlier incarnation
// of the worker. The mutex is held.
func (a *Agent) reportStarts(r *engine.Report) {
	if r.Worker.Name == "" {
		return
	}
	at := now()
	r.UnansweredStarts, r.ProcessAge, r.StartLimit = a.unansweredStarts.list(at), at-a.startedAt, startLimit
}
