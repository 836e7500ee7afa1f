package gang

import (
	"slices"
	"time"
)

// simAgentAttempt identifies an attempt on one agent.
type simAgentAttempt struct {
	agent string
	id    ID
}

// simHistory is what actually happened in a simulation, for the checks.
type simHistory struct {
	recorded           map[ID]bool
	permits            map[simPermitKey]bool
	reportedNotRun     map[string]bool // jobs reported to their callers as not run
	committed          map[simAgentAttempt]bool
	commitCount        map[ID]int
	stopped            map[simAgentAttempt]bool
	started            map[simAgentAttempt]bool
	succeeded          map[simAgentAttempt]bool
	reportedNotStarted map[ID]bool
	partialSince       map[ID]time.Time
	attemptsByJob      map[string][]ID
	startedOn          map[ID][]string // agents whose target started the task
}

func newSimHistory() simHistory {
	return simHistory{
		recorded:           map[ID]bool{},
		permits:            map[simPermitKey]bool{},
		reportedNotRun:     map[string]bool{},
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

// recordCommits records new commits of the agent.
func (h *simHistory) recordCommits(a *simAgent) {
	for id, attempt := range a.member.attempts {
		if key := a.key(id); attempt.task.Committed && !h.committed[key] {
			h.committed[key] = true
			h.commitCount[id]++
		}
	}
}

func (h *simHistory) recordEnd(a *simAgent, id ID, r Result) {
	h.succeeded[a.key(id)] = r == Succeeded
}

func (s *simulation) fail(format string, args ...any) {
	s.t.Helper()
	step := s.now.Sub(time.Unix(1000, 0)) / simStep
	s.t.Fatalf("seed %d step %d: "+format, append([]any{s.seed, int(step)}, args...)...)
}

// checkStart fails the test if a task starts at a target against one of the
// protocol's guarantees.
func (s *simulation) checkStart(a *simAgent, t Task) {
	history := &s.history
	switch {
	case !history.recorded[t.ID] && !s.hadPermit(t.ID):
		s.fail("%v started without a record or a permit", t.ID)
	case history.reportedNotRun[t.ID.Job]:
		s.fail("%v started after its job was reported as not run", t.ID)
	case history.commitCount[t.ID] != t.Members:
		s.fail("%v started with %d of %d members committed", t.ID, history.commitCount[t.ID], t.Members)
	case history.reportedNotStarted[t.ID]:
		s.fail("%v started after it was reported as not started", t.ID)
	case history.started[a.key(t.ID)]:
		s.fail("%v started twice on %s", t.ID, a.name)
	}
	for _, other := range a.tasks {
		for _, i := range other.Accelerators {
			if slices.Contains(t.Accelerators, i) {
				s.fail("accelerator %d of %s is assigned to both %v and %v", i, a.name, other.ID, t.ID)
			}
		}
	}
	s.checkOtherAttempts(t)
	history.started[a.key(t.ID)] = true
	history.startedOn[t.ID] = append(history.startedOn[t.ID], a.name)
	s.stats.starts++
}

func (s *simulation) hadPermit(id ID) bool {
	job := s.jobIndex(id.Job)
	return s.jobs[job].repeatable && s.history.permits[simPermitKey{job, id.Epoch}]
}

func (s *simulation) checkOtherAttempts(t Task) {
	job := s.jobs[slices.IndexFunc(s.jobs, func(j simJob) bool { return j.name == t.ID.Job })]
	ran := s.history.attemptsByJob[job.name]
	if slices.Contains(ran, t.ID) {
		return
	}
	if len(ran) > 0 && !job.repeatable {
		s.fail("job %s is not repeatable, but starts as %v after %v", job.name, t.ID, ran)
	}
	for _, old := range ran {
		if s.isRunning(old) {
			s.stats.overlaps++
		}
		if s.isPartial(old, t.Members) {
			s.fail("%v starts while %v runs partially", t.ID, old)
		}
	}
	s.history.attemptsByJob[job.name] = append(ran, t.ID)
}

func (s *simulation) isRunning(id ID) bool {
	return slices.ContainsFunc(s.agents, func(a *simAgent) bool {
		return slices.ContainsFunc(a.tasks, func(t Task) bool { return t.ID == id })
	})
}

// isPartial reports whether the attempt runs on some members while others
// neither run nor have succeeded.
func (s *simulation) isPartial(id ID, members int) bool {
	running, succeeded := 0, 0
	for _, a := range s.agents {
		if slices.ContainsFunc(a.tasks, func(t Task) bool { return t.ID == id }) {
			running++
		}
		if s.history.succeeded[a.key(id)] {
			succeeded++
		}
	}
	return running > 0 && running+succeeded < members
}

// checkPartial fails the test if part of a gang runs for longer than
// simMaxPartial.
func (s *simulation) checkPartial() {
	for _, a := range s.agents {
		for _, t := range a.tasks {
			if !s.isPartial(t.ID, t.Members) {
				delete(s.history.partialSince, t.ID)
				continue
			}
			since, ok := s.history.partialSince[t.ID]
			if !ok {
				s.history.partialSince[t.ID] = s.now
				continue
			}
			if s.now.Sub(since) > simMaxPartial {
				s.fail("%v runs partially for %v", t.ID, s.now.Sub(since))
			}
		}
	}
}

func (s *simulation) checkEnded(id ID, e Ended) {
	started := len(s.history.startedOn[id])
	switch e.Outcome {
	case NotStarted:
		s.stats.notStarted++
		s.history.reportedNotStarted[id] = true
		if started > 0 {
			s.fail("%v reported as not started after %d starts", id, started)
		}
	case Done:
		s.stats.done++
		for _, m := range e.Members {
			if !s.history.succeeded[simAgentAttempt{m.Agent, id}] {
				s.fail("%v reported as done, but its task on %s did not succeed", id, m.Agent)
			}
		}
	case Superseded:
		s.stats.superseded++
	case Lost:
		s.stats.lost++
	}
	for _, m := range e.Members {
		if m.Result == Isolated {
			s.stats.isolated++
		}
	}
}

// checkNothingLeft fails the test if a job has not ended or an accelerator is
// still held.
func (s *simulation) checkNothingLeft() {
	for i, r := range s.store.records {
		if r.state != simEnded {
			s.fail("job %s has not ended, its record is in state %d", s.jobs[i].name, r.state)
		}
	}
	for _, a := range s.agents {
		if free := a.member.FreeAccelerators(); len(free) != simAccelerators || len(a.tasks) > 0 {
			s.fail("%s still has attempts %v and %d tasks at its target", a.name, a.member.Tasks(), len(a.tasks))
		}
	}
}
