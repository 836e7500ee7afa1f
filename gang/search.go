package gang

import (
	"slices"
	"time"
)

// AgentView is what a successor knows of an agent that it hears.
type AgentView struct {
	Agent       string
	Incarnation uint64
	// FencedAt is when the incarnation first reported the successor's epoch as its
	// fence, zero if it has not yet.
	FencedAt time.Time
	// FenceSentAt is when the incarnation was first sent a fence, zero if it was not.
	FenceSentAt time.Time
	// Tasks are those of the last report.
	Tasks []Task
}

// SearchConfig is the timing of a Search.
type SearchConfig struct {
	// LossTimeout is the loss timeout.
	LossTimeout time.Duration
	// SettleTime is Config.SettleTime.
	SettleTime time.Duration
}

// Search is a successor's look at all agents for what its predecessors started on
// permits, which name no members. It is made from the reports of one moment.
//
// The failure it guards against: the planner that holds a permit starts the job in
// an outage of the store and dies, or is cut off from its successor. No record says
// where the job runs, so the successor would start it beside the first run, or
// beside a part of it that runs on alone.
type Search struct {
	config        SearchConfig
	now           time.Time
	allFenced     bool // all agents, for Settle
	attemptsByJob map[string][]foundAttempt
}

// foundAttempt is what the agents hold of one attempt.
type foundAttempt struct {
	plan     Plan
	gangSize int  // of the gang
	mustWait bool // at a member, or not fenced there
}

// complete says whether all members of the gang hold an account of the attempt.
func (r *foundAttempt) complete() bool { return len(r.plan.Members) == r.gangSize }

// SearchResult is what a Search says of a permit.
type SearchResult uint8

// Verdicts of a Search.
const (
	// SearchPending: the job may be running somewhere; its tasks must be left alone.
	SearchPending SearchResult = iota
	// Adoptable: the returned plan is an attempt of which all members hold an
	// account. Resume tells how far it got, or how it ended.
	Adoptable
	// Incomplete: part of an attempt is left and the rest is not coming. Its tasks
	// have to be stopped.
	Incomplete
	// NotFound: no agent that can be reached holds anything of the job or will
	// start it, and what the others may hold does not run partially. The job may
	// have run: this is no proof that it did not.
	NotFound
)

// NewSearch looks at all agents that are not lost.
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

// isFenced says whether the agent isFenced the predecessors, and has for long enough.
// One that reports and can't be told, because its path is broken one way or its
// target does not answer it, counts as lost in the end: it would keep every job
// with a permit from starting.
func (s *Search) isFenced(v AgentView) bool {
	if v.FencedAt.IsZero() {
		return !v.FenceSentAt.IsZero() && s.now.Sub(v.FenceSentAt) >= 2*s.config.LossTimeout
	}
	return s.now.Sub(v.FencedAt) >= s.config.SettleTime
}

// addTask enters a task. A reservation is none: it expires, and with the fence up it
// can't be committed. Accounts from before the fence may still change and count
// only as something that is there.
func (s *Search) addTask(v AgentView, t Task) {
	if t.State == StateReserved && !v.FencedAt.IsZero() {
		return
	}
	attempts := s.attemptsByJob[t.ID.Job]
	i := slices.IndexFunc(attempts, func(r foundAttempt) bool { return r.plan.ID == t.ID })
	if i < 0 {
		i = len(attempts)
		attempts = append(attempts, foundAttempt{plan: Plan{ID: t.ID}, gangSize: t.Members})
	}
	r := &attempts[i]
	r.plan.Members = append(r.plan.Members, PlannedMember{
		Agent:        v.Agent,
		Incarnation:  v.Incarnation,
		Accelerators: t.Accelerators,
	})
	status := memberStatus{task: t}
	r.mustWait = r.mustWait || v.FencedAt.IsZero() || !status.reached(StateCommitted)
	s.attemptsByJob[t.ID.Job] = attempts
}

// Resolve says what is known of a job with a permit of the epoch that the
// successor has looked for since began.
//
// It waits for the loss timeout, so that agents which it never heard are lost to
// it, and until every agent it hears has refused its predecessors for Settle. A
// gang with a member among these is then whole and listed, or has stopped by
// isolation: its planner has heard of the fence, or no longer hears the member.
// A gang with no member among them can still run, whole, which is what repeatable
// jobs allow. An attempt that is whole need not wait; one that has ended must, since
// the job may have been started again elsewhere.
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

// latestComplete returns the latestComplete attempt under the epoch that is complete, and whether
// anything is left of any.
func (s *Search) latestComplete(job string, epoch uint64) (*foundAttempt, bool) {
	var latest *foundAttempt
	anyFound := false
	for i := range s.attemptsByJob[job] {
		r := &s.attemptsByJob[job][i]
		if r.plan.ID.Epoch != epoch {
			continue
		}
		anyFound = true
		if r.complete() && (latest == nil || r.plan.ID.Compare(latest.plan.ID) > 0) {
			latest = r
		}
	}
	return latest, anyFound
}

// FenceMessage returns a message that raises the fence of an agent and concerns no job:
// planners with lower epochs can't start anything there after it.
func FenceMessage(epoch, incarnation uint64) Seal {
	return Seal{Header: Header{ID: ID{Epoch: epoch}, Sender: epoch, Incarnation: incarnation}}
}
