package gang

import (
	"slices"
	"time"
)

// DefaultMaxTombstones is how many ended attempts a Member remembers by default.
const DefaultMaxTombstones = 1024

// MemberConfig is the fixed part of a Member.
type MemberConfig struct {
	// Accelerators is how many the worker has; they are numbered from 0.
	Accelerators int
	// Incarnation grows with each start of the agent's process.
	Incarnation uint64
	// IsolationTimeout is how long a task of several members runs without hearing that
	// its gang is whole. Coordinator.Whole's window, IsolationTimeout and the time that
	// a stop takes must add up to less than the planner's loss timeout.
	IsolationTimeout time.Duration
	// MaxTombstones bounds the memory of ended attempts; 0 means the default.
	MaxTombstones int
}

// Member is the agent's side of all attempts on its worker. It is not safe for
// concurrent use.
type Member struct {
	config           MemberConfig
	attempts         map[ID]*attempt
	owners           []*attempt       // by accelerator; nil is free
	fence            uint64           // highest epoch heard of
	highestForgotten ID               // highest attempt that was forgotten
	timestamp        PlannerTimestamp // of the last answer to a report
	tombstones       int
	ready            bool
	draining         bool
	now              time.Time
	actions          []MemberAction
}

// attempt is the member's account of one attempt.
type attempt struct {
	task         Task
	spec         []byte
	replyTo      string
	deadline     time.Time // of the hold, or of a running task's isolation
	isolated     bool
	acknowledged bool // a coordinator has taken notice of the end
}

// NewMember returns a member that refuses everything until Adopted.
func NewMember(c MemberConfig) *Member {
	if c.MaxTombstones == 0 {
		c.MaxTombstones = DefaultMaxTombstones
	}
	return &Member{
		config:   c,
		attempts: make(map[ID]*attempt),
		owners:   make([]*attempt, c.Accelerators),
	}
}

// Step handles one event and returns what is to be done, in order.
func (m *Member) Step(now time.Time, ev MemberEvent) []MemberAction {
	m.now, m.actions = now, nil
	// A renewal that waited behind a pause is taken before deadlines act, and
	// a message after them: a hold that has expired must not be committed.
	if answer, ok := ev.(ReportAnswered); ok {
		m.handleReportAnswered(answer)
	}
	m.expireDeadlines()
	switch ev := ev.(type) {
	case Received:
		m.handleReceived(ev)
	case TasksRecovered:
		m.recoverTasks(ev.Tasks)
	case TaskEnded:
		m.handleTaskEnded(ev)
	case Drain:
		m.draining = true
	}
	m.scheduleTick()
	return m.actions
}

// Tasks lists all attempts that hold accelerators and those ended ones that no
// coordinator has closed, in the order of their IDs. Reports carry it.
func (m *Member) Tasks() []Task {
	var tasks []Task
	for _, a := range m.attempts {
		if !a.acknowledged {
			tasks = append(tasks, a.task)
		}
	}
	slices.SortFunc(tasks, func(a, b Task) int { return a.ID.Compare(b.ID) })
	return tasks
}

// FreeAccelerators lists the accelerators that are in no attempt.
func (m *Member) FreeAccelerators() []int {
	var free []int
	for i, a := range m.owners {
		if a == nil {
			free = append(free, i)
		}
	}
	return free
}

// Ready says whether Adopted has been handled.
func (m *Member) Ready() bool { return m.ready }

// Timestamp returns that of the last Contact, for the next report.
func (m *Member) Timestamp() PlannerTimestamp { return m.timestamp }

// Fence returns the highest epoch that the member has heard of.
func (m *Member) Fence() uint64 { return m.fence }

func (m *Member) recoverTasks(tasks []Task) {
	if m.ready {
		return
	}
	m.ready = true
	for _, t := range tasks {
		m.recoverTask(t)
		// The fence was lost with the restart. At least planners from before this
		// attempt must not stop it.
		m.fence = max(m.fence, t.ID.Epoch)
	}
}

// recoverTask takes over a task of the agent's earlier life. One that ended while
// there was no agent becomes an account that a report still delivers: without it
// the planner would take a finished task for a lost one.
func (m *Member) recoverTask(t Task) {
	t.Committed, t.Started = true, true
	a := &attempt{task: t}
	m.attempts[t.ID] = a
	if t.State == StateEnded {
		m.endAttempt(a)
		return
	}
	a.task.State = StateRunning
	until := m.now.Add(m.config.IsolationTimeout)
	if previous := time.Unix(0, t.RunUntil); t.RunUntil != 0 && previous.Before(until) {
		until = previous
	}
	a.setRunDeadline(until)
	m.assignAccelerators(a)
}

func (m *Member) handleTaskEnded(ev TaskEnded) {
	a := m.attempts[ev.ID]
	if a == nil || a.task.State != StateRunning && a.task.State != StateStopping {
		return
	}
	a.task.Result = ev.Result
	a.task.Checkpointed = ev.Checkpointed
	a.task.Detail = ev.Detail
	if a.isolated && ev.Result == TaskStopped {
		a.task.Result = Isolated
	}
	m.endAttempt(a)
	if a.replyTo != "" {
		m.reply(a.replyTo, a.task, Accepted)
	}
}

func (m *Member) handleReportAnswered(ev ReportAnswered) {
	m.timestamp = ev.Timestamp
	for _, id := range ev.Renewed {
		a := m.attempts[id]
		if a == nil || a.task.State != StateRunning {
			continue
		}
		if deadline := ev.SentAt.Add(m.config.IsolationTimeout); deadline.After(a.deadline) {
			a.setRunDeadline(deadline)
		}
	}
}

func (a *attempt) setRunDeadline(t time.Time) {
	a.deadline = t
	a.task.RunUntil = t.UnixNano()
}

func (m *Member) reply(to string, t Task, r Refusal) {
	m.actions = append(m.actions, SendReply{To: to, Reply: Reply{
		Task:        t,
		Incarnation: m.config.Incarnation,
		Refusal:     r,
		Fence:       m.fence,
	}})
}
