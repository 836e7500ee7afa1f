package gang

import (
	"slices"
	"time"
)

type simKey struct {
	agent string
	id    ID
}

// simTruth is what happened, as nobody in the world knows it.
type simTruth struct {
	recorded  map[ID]bool
	permits   map[simGrant]bool
	told      map[string]bool // jobs of which a caller was told that they did not run
	committed map[simKey]bool
	commits   map[ID]int
	stopped   map[simKey]bool
	started   map[simKey]bool
	succeeded map[simKey]bool
	denied    map[ID]bool // reported as NotStarted
	partial   map[ID]time.Time
	ran       map[string][]ID // by job
	members   map[ID][]string // agents that started
}

func newSimTruth() simTruth {
	return simTruth{
		recorded:  map[ID]bool{},
		permits:   map[simGrant]bool{},
		told:      map[string]bool{},
		committed: map[simKey]bool{},
		commits:   map[ID]int{},
		stopped:   map[simKey]bool{},
		started:   map[simKey]bool{},
		succeeded: map[simKey]bool{},
		denied:    map[ID]bool{},
		partial:   map[ID]time.Time{},
		ran:       map[string][]ID{},
		members:   map[ID][]string{},
	}
}

// observe notes commits.
func (t *simTruth) observe(a *simAgent) {
	for id, at := range a.member.attempts {
		if key := a.key(id); at.task.Committed && !t.committed[key] {
			t.committed[key] = true
			t.commits[id]++
		}
	}
}

func (t *simTruth) ended(a *simAgent, id ID, r Result) {
	t.succeeded[a.key(id)] = r == Succeeded
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	step := w.now.Sub(time.Unix(1000, 0)) / simStep
	w.t.Fatalf("seed %d step %d: "+format, append([]any{w.seed, int(step)}, args...)...)
}

// checkStart holds a start at a target against all that must never happen.
func (w *world) checkStart(a *simAgent, t Task) {
	truth := &w.truth
	switch {
	case !truth.recorded[t.ID] && !w.permitted(t.ID):
		w.fail("%v started without a record or a permit", t.ID)
	case truth.told[t.ID.Job]:
		w.fail("%v started after its caller was told that it did not run", t.ID)
	case truth.commits[t.ID] != t.Members:
		w.fail("%v started with %d of %d committed", t.ID, truth.commits[t.ID], t.Members)
	case truth.denied[t.ID]:
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
	truth.members[t.ID] = append(truth.members[t.ID], a.name)
	w.stats.starts++
}

func (w *world) permitted(id ID) bool {
	job := w.jobIndex(id.Job)
	return w.jobs[job].repeatable && w.truth.permits[simGrant{job, id.Epoch}]
}

func (w *world) checkOtherAttempts(t Task) {
	job := w.jobs[slices.IndexFunc(w.jobs, func(j simJob) bool { return j.name == t.ID.Job })]
	ran := w.truth.ran[job.name]
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
	w.truth.ran[job.name] = append(ran, t.ID)
}

func (w *world) isRunning(id ID) bool {
	return slices.ContainsFunc(w.agents, func(a *simAgent) bool {
		return slices.ContainsFunc(a.tasks, func(t Task) bool { return t.ID == id })
	})
}

// isPartial says whether the attempt runs somewhere, and somewhere else neither
// runs nor has succeeded.
func (w *world) isPartial(id ID, members int) bool {
	running, succeeded := 0, 0
	for _, a := range w.agents {
		if slices.ContainsFunc(a.tasks, func(t Task) bool { return t.ID == id }) {
			running++
		}
		if w.truth.succeeded[a.key(id)] {
			succeeded++
		}
	}
	return running > 0 && running+succeeded < members
}

// checkPartial bounds the time for which part of a gang runs.
func (w *world) checkPartial() {
	for _, a := range w.agents {
		for _, t := range a.tasks {
			if !w.isPartial(t.ID, t.Members) {
				delete(w.truth.partial, t.ID)
				continue
			}
			since, ok := w.truth.partial[t.ID]
			if !ok {
				w.truth.partial[t.ID] = w.now
				continue
			}
			if w.now.Sub(since) > simPartial {
				w.fail("%v runs partially for %v", t.ID, w.now.Sub(since))
			}
		}
	}
}

func (w *world) checkEnded(id ID, e Ended) {
	started := len(w.truth.members[id])
	switch e.Outcome {
	case NotStarted:
		w.stats.notStarted++
		w.truth.denied[id] = true
		if started > 0 {
			w.fail("%v reported as not started after %d starts", id, started)
		}
	case Done:
		w.stats.done++
		for _, m := range e.Members {
			if !w.truth.succeeded[simKey{m.Agent, id}] {
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

// checkRest looks for what was left behind.
func (w *world) checkRest() {
	for i, r := range w.store.records {
		if r.state != simFinal {
			w.fail("job %s is still in state %d", w.jobs[i].name, r.state)
		}
	}
	for _, a := range w.agents {
		if free := a.member.FreeAccelerators(); len(free) != simGPUs || len(a.tasks) > 0 {
			w.fail("%s still holds %v, %d tasks", a.name, a.member.Tasks(), len(a.tasks))
		}
	}
}
