package gang

import (
	"slices"
	"time"
)

// AgentView is what a successor knows of an agent that it receives reports
// from.
type AgentView struct {
	Agent       string
	Incarnation uint64
	// FencedAt is when the incarnation first reported the successor's epoch as
	// its fence, zero if it has not yet.
	FencedAt time.Time
	// FenceSentAt is when the incarnation was first sent a fence, zero if it
	// was not.
	FenceSentAt time.Time
	// Tasks are the tasks in the last report.
	Tasks []Task
}

// SearchConfig is the timing of a Search.
type SearchConfig struct {
	// LossTimeout is how long an agent may be unresponsive before it counts as
	// lost.
	LossTimeout time.Duration
	// FenceWait is Config.FenceWait.
	FenceWait time.Duration
}

// Search looks through the agents' reports at one moment for attempts that
// predecessors started on permits, which name no members. Without it, a
// successor could start such a job a second time.
type Search struct {
	config        SearchConfig
	now           time.Time
	allFenced     bool // isFenced holds for all agents
	attemptsByJob map[string][]foundAttempt
}

// foundAttempt is what the agents hold of one attempt.
type foundAttempt struct {
	plan     Plan
	gangSize int
	mustWait bool // a member has failed, stopped or is not fenced
}

// complete reports whether all members of the gang know the attempt.
func (a *foundAttempt) complete() bool { return len(a.plan.Members) == a.gangSize }

// SearchResult is the conclusion of a Search about one job.
type SearchResult uint8

// Results of a Search.
const (
	// SearchPending means that the job may still run somewhere; its tasks must
	// not be stopped.
	SearchPending SearchResult = iota
	// Adoptable means that all members know the attempt of the returned plan.
	// ResumeCoordinator finds out how far it got or how it ended.
	Adoptable
	// Incomplete means that only part of an attempt is left. Its tasks have to
	// be stopped.
	Incomplete
	// NotFound means that no reachable agent has a task of the job or will
	// start one, and that unreachable agents don't run part of it. The job may
	// have run nevertheless.
	NotFound
)

// NewSearch returns a search over all agents that are not lost.
func NewSearch(c SearchConfig, now time.Time, agents []AgentView) *Search {
	s := &Search{config: c, now: now, allFenced: true, attemptsByJob: make(map[string][]foundAttempt)}
	for _, v := range agents {
		s.allFenced = s.allFenced && s.isFenced(v)
		for _, t := range v.Tasks {
			s.addTask(v, t)
		}
	}
	return s
}

// isFenced reports whether the agent has refused predecessors for FenceWait.
// An agent that sends reports but can't be fenced, because messages don't
// reach it or its target does not respond, is treated as lost after twice the
// loss timeout since the first attempt: otherwise it would keep every job with
// a permit from starting.
func (s *Search) isFenced(v AgentView) bool {
	if v.FencedAt.IsZero() {
		return !v.FenceSentAt.IsZero() && s.now.Sub(v.FenceSentAt) >= 2*s.config.LossTimeout
	}
	return s.now.Sub(v.FencedAt) >= s.config.FenceWait
}

// addTask records a task. Reservations at fenced agents are ignored: they
// expire and can't be committed. A task at an agent that is not fenced may
// still change.
func (s *Search) addTask(v AgentView, t Task) {
	if t.State == StateReserved && !v.FencedAt.IsZero() {
		return
	}
	attempts := s.attemptsByJob[t.ID.Job]
	i := slices.IndexFunc(attempts, func(a foundAttempt) bool { return a.plan.ID == t.ID })
	if i < 0 {
		i = len(attempts)
		attempts = append(attempts, foundAttempt{plan: Plan{ID: t.ID}, gangSize: t.Members})
	}
	found := &attempts[i]
	found.plan.Members = append(found.plan.Members, PlannedMember{
		Agent:        v.Agent,
		Incarnation:  v.Incarnation,
		Accelerators: t.Accelerators,
	})
	status := memberStatus{task: t}
	found.mustWait = found.mustWait || v.FencedAt.IsZero() || !status.reached(StateCommitted)
	s.attemptsByJob[t.ID.Job] = attempts
}

// Resolve returns what is known of a job whose permit belongs to the given
// epoch and which the successor has been looking for since began. An intact
// attempt is adopted at once, an ended one only after a wait, since the job may
// have been started again elsewhere.
//
// The wait ends when the loss timeout has passed and all agents that are not
// lost have been fenced for FenceWait. By then a gang with a member on one of
// these was reported by all members or has stopped by isolation, since its
// planner has learned of the fence or no longer hears from the member, and does
// not renew the gang. A gang that is entirely on lost agents may still run,
// which repeatable jobs allow.
func (s *Search) Resolve(job string, epoch uint64, began time.Time) (SearchResult, Plan) {
	latest, anyFound := s.latestComplete(job, epoch)
	waiting := s.now.Sub(began) < s.config.LossTimeout || !s.allFenced
	switch {
	case latest != nil && (!waiting || !latest.mustWait):
		return Adoptable, latest.plan
	case waiting:
		return SearchPending, Plan{}
	case anyFound:
		return Incomplete, Plan{}
	}
	return NotFound, Plan{}
}

// latestComplete returns the latest complete attempt of the epoch, or nil, and
// whether any attempt of the epoch was found.
func (s *Search) latestComplete(job string, epoch uint64) (*foundAttempt, bool) {
	var latest *foundAttempt
	anyFound := false
	for i := range s.attemptsByJob[job] {
		found := &s.attemptsByJob[job][i]
		if found.plan.ID.Epoch != epoch {
			continue
		}
		anyFound = true
		if found.complete() && (latest == nil || found.plan.ID.Compare(latest.plan.ID) > 0) {
			latest = found
		}
	}
	return latest, anyFound
}

// FenceMessage returns a message that raises the fence of an agent without
// concerning any job. Planners with lower epochs can't start anything there
// afterwards.
func FenceMessage(epoch, incarnation uint64) Seal {
	return Seal{Header: Header{ID: ID{Epoch: epoch}, Sender: epoch, Incarnation: incarnation}}
}
