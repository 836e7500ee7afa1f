package gang

import (
	"slices"
	"time"
)

// DefaultMaxTombstones is the default of MemberConfig.MaxTombstones.
const DefaultMaxTombstones = 1024

// MemberConfig configures a Member.
type MemberConfig struct {
	// Accelerators is the number of accelerators of the worker, numbered from
	// 0.
	Accelerators int
	// Incarnation increases with each start of the agent's process.
	Incarnation uint64
	// IsolationTimeout is how long a task of several members runs without a
	// renewal of its attempt. Config.LivenessWindow, IsolationTimeout and the
	// time in which a task stops must add up to less than the planner's loss
	// timeout.
	IsolationTimeout time.Duration
	// MaxTombstones limits how many ended attempts are remembered; 0 means
	// DefaultMaxTombstones.
	MaxTombstones int
}

// Member is the agent's side of all attempts on its worker. It is not safe for
// concurrent use.
type Member struct {
	config           MemberConfig
	attempts         map[ID]*attempt
	owners           []*attempt       // by accelerator; nil if free
	fence            uint64           // highest epoch heard from
	highestForgotten ID               // highest ID among the forgotten attempts
	timestamp        PlannerTimestamp // of the last answer to a report
	tombstones       int
	ready            bool
	draining         bool
	now              time.Time
	actions          []MemberAction
}

// attempt is a member's state of one attempt.
type attempt struct {
	task         Task
	spec         []byte
	replyTo      string
	deadline     time.Time // of the hold, or of the running task's isolation
	isolated     bool
	acknowledged bool // a coordinator has acknowledged the end
}

// NewMember returns a member that refuses all messages until TasksRecovered.
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
	// A renewal that was queued during a pause is applied before deadlines
	// act. Messages are handled after them: a hold that has expired must not
	// be committed.
	if answer, ok := ev.(ReportAnswered); ok {
		m.handleReportAnswered(answer)
	}
	m.expireDeadlines()
	switch ev := ev.(type) {
	case Received:
		m.handleReceived(ev)
	case TasksRecovered:
		m.recoverTasks(ev.Tasks)
	case TaskStarted:
		m.handleTaskStarted(ev)
	case TaskEnded:
		m.handleTaskEnded(ev)
	case Drain:
		m.draining = true
	}
	m.scheduleTick()
	return m.actions
}

// Tasks returns the tasks to report: all attempts that hold accelerators, and
// ended ones that no coordinator has acknowledged, in the order of their IDs.
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

// FreeAccelerators returns the accelerators that no attempt holds.
func (m *Member) FreeAccelerators() []int {
	var free []int
	for i, a := range m.owners {
		if a == nil {
			free = append(free, i)
		}
	}
	return free
}

// Ready reports whether TasksRecovered has been handled.
func (m *Member) Ready() bool { return m.ready }

// Timestamp returns the timestamp of the last ReportAnswered, for the next
// report.
func (m *Member) Timestamp() PlannerTimestamp { return m.timestamp }

// Fence returns the highest epoch that the member has heard from.
func (m *Member) Fence() uint64 { return m.fence }

func (m *Member) recoverTasks(tasks []Task) {
	if m.ready {
		return
	}
	m.ready = true
	for _, t := range tasks {
		m.recoverTask(t)
		// The fence was lost with the restart. Planners from before this
		// attempt, at least, must not be able to stop it.
		m.fence = max(m.fence, t.ID.Epoch)
	}
}

// recoverTask takes over a task of an earlier incarnation of the agent. A task
// that ended while there was no agent is kept so that a report still delivers
// its result; otherwise the planner would take a finished task as lost.
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

func (m *Member) handleTaskStarted(ev TaskStarted) {
	a := m.attempts[ev.ID]
	if a == nil || !a.task.Unconfirmed {
		return
	}
	a.task.Unconfirmed = false
	if a.replyTo != "" {
		m.reply(a.replyTo, a.task, Accepted)
	}
}

func (m *Member) handleTaskEnded(ev TaskEnded) {
	a := m.attempts[ev.ID]
	if a == nil || a.task.State != StateRunning && a.task.State != StateStopping {
		return
	}
	a.task.Result = ev.Result
	a.task.Unconfirmed = false
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
	if m.timestamp.before(ev.Timestamp) {
		m.timestamp = ev.Timestamp
	}
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
