package gang

import (
	"slices"
	"time"
)

type simAgentAttempt struct {
	agent string
	id    ID
}

// simHistory is what happened, as nobody in the world knows it.
type simHistory struct {
	recorded           map[ID]bool
	permits            map[simPermitKey]bool
	toldNotRun         map[string]bool // jobs of which a caller was told that they did not run
	committed          map[simAgentAttempt]bool
	commitCount        map[ID]int
	stopped            map[simAgentAttempt]bool
	started            map[simAgentAttempt]bool
	succeeded          map[simAgentAttempt]bool
	reportedNotStarted map[ID]bool // reported as NotStarted
	partialSince       map[ID]time.Time
	attemptsByJob      map[string][]ID // by job
	startedOn          map[ID][]string // agents that started
}

func newSimHistory() simHistory {
	return simHistory{
		recorded:           map[ID]bool{},
		permits:            map[simPermitKey]bool{},
		toldNotRun:         map[string]bool{},
		committed:          map[simAgentAttempt]bool{},
		commitCount:        map[ID]int{},
		stopped:            map[simAgentAttempt]bool{},
		started:            map[simAgentAttempt]bool{},
		succeeded:          map[simAgentAttempt]bool{},
		reportedNotStarted: map[ID]bool{},
		partialSince:       map[ID]time.Time{},
		attemptsByJob:      map[string][]ID{},
		startedOn:          map[ID][]string{},
	}
}

// recordCommits notes commits.
func (t *simHistory) recordCommits(a *simAgent) {
	for id, at := range a.member.attempts {
		if key := a.key(id); at.task.Committed && !t.committed[key] {
			t.committed[key] = true
			t.commitCount[id]++
		}
	}
}

func (t *simHistory) recordEnd(a *simAgent, id ID, r Result) {
	t.succeeded[a.key(id)] = r == Succeeded
}

func (w *simulation) fail(format string, args ...any) {
	w.t.Helper()
	step := w.now.Sub(time.Unix(1000, 0)) / simStep
	w.t.Fatalf("seed %d step %d: "+format, append([]any{w.seed, int(step)}, args...)...)
}

// checkStart holds a start at a target against all that must never happen.
func (w *simulation) checkStart(a *simAgent, t Task) {
	truth := &w.history
	switch {
	case !truth.recorded[t.ID] && !w.hadPermit(t.ID):
		w.fail("%v started without a record or a permit", t.ID)
	case truth.toldNotRun[t.ID.Job]:
		w.fail("%v started after its caller was told that it did not run", t.ID)
	case truth.commitCount[t.ID] != t.Members:
		w.fail("%v started with %d of %d committed", t.ID, truth.commitCount[t.ID], t.Members)
	case truth.reportedNotStarted[t.ID]:
		w.fail("%v started after it was reported as not started", t.ID)
	case truth.started[a.key(t.ID)]:
		w.fail("%v started twice on %s", t.ID, a.name)
	}
	for _, other := range a.tasks {
		for _, i := range other.Accelerators {
			if slices.Contains(t.Accelerators, i) {
				w.fail("accelerator %d of %s in %v and %v", i, a.name, other.ID, t.ID)
			}
		}
	}
	w.checkOtherAttempts(t)
	truth.started[a.key(t.ID)] = true
	truth.startedOn[t.ID] = append(truth.startedOn[t.ID], a.name)
	w.stats.starts++
}

func (w *simulation) hadPermit(id ID) bool {
	job := w.jobIndex(id.Job)
	return w.jobs[job].repeatable && w.history.permits[simPermitKey{job, id.Epoch}]
}

func (w *simulation) checkOtherAttempts(t Task) {
	job := w.jobs[slices.IndexFunc(w.jobs, func(j simJob) bool { return j.name == t.ID.Job })]
	ran := w.history.attemptsByJob[job.name]
	if slices.Contains(ran, t.ID) {
		return
	}
	if len(ran) > 0 && !job.repeatable {
		w.fail("job %s is not repeatable and starts as %v after %v", job.name, t.ID, ran)
	}
	for _, old := range ran {
		if w.isRunning(old) {
			w.stats.overlaps++
		}
		if w.isPartial(old, t.Members) {
			w.fail("%v starts while %v runs partially", t.ID, old)
		}
	}
	w.history.attemptsByJob[job.name] = append(ran, t.ID)
}

func (w *simulation) isRunning(id ID) bool {
	return slices.ContainsFunc(w.agents, func(a *simAgent) bool {
		return slices.ContainsFunc(a.tasks, func(t Task) bool { return t.ID == id })
	})
}

// isPartial says whether the attempt runs somewhere, and somewhere else neither
// runs nor has succeeded.
func (w *simulation) isPartial(id ID, members int) bool {
	running, succeeded := 0, 0
	for _, a := range w.agents {
		if slices.ContainsFunc(a.tasks, func(t Task) bool { return t.ID == id }) {
			running++
		}
		if w.history.succeeded[a.key(id)] {
			succeeded++
		}
	}
	return running > 0 && running+succeeded < members
}

// checkPartial bounds the time for which part of a gang runs.
func (w *simulation) checkPartial() {
	for _, a := range w.agents {
		for _, t := range a.tasks {
			if !w.isPartial(t.ID, t.Members) {
				delete(w.history.partialSince, t.ID)
				continue
			}
			since, ok := w.history.partialSince[t.ID]
			if !ok {
				w.history.partialSince[t.ID] = w.now
				continue
			}
			if w.now.Sub(since) > simMaxPartial {
				w.fail("%v runs partially for %v", t.ID, w.now.Sub(since))
			}
		}
	}
}

func (w *simulation) checkEnded(id ID, e Ended) {
	started := len(w.history.startedOn[id])
	switch e.Outcome {
	case NotStarted:
		w.stats.notStarted++
		w.history.reportedNotStarted[id] = true
		if started > 0 {
			w.fail("%v reported as not started after %d starts", id, started)
		}
	case Done:
		w.stats.done++
		for _, m := range e.Members {
			if !w.history.succeeded[simAgentAttempt{m.Agent, id}] {
				w.fail("%v reported as done, not so on %s", id, m.Agent)
			}
		}
	case Superseded:
		w.stats.superseded++
	case Lost:
		w.stats.lost++
	}
	for _, m := range e.Members {
		if m.Result == Isolated {
			w.stats.isolated++
		}
	}
}

// checkNothingLeft looks for what was left behind.
func (w *simulation) checkNothingLeft() {
	for i, r := range w.store.records {
		if r.state != simEnded {
			w.fail("job %s is still in state %d", w.jobs[i].name, r.state)
		}
	}
	for _, a := range w.agents {
		if free := a.member.FreeAccelerators(); len(free) != simAccelerators || len(a.tasks) > 0 {
			w.fail("%s still holds %v, %d tasks", a.name, a.member.Tasks(), len(a.tasks))
		}
	}
}
