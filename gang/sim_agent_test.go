package gang

import (
	"slices"
	"time"
)

// simAgent is an agent and its target, which keeps running when the agent is
// down.
type simAgent struct {
	sim            *simulation
	name           string
	member         *Member // nil while the process is down
	incarnation    uint64
	tasks          []Task // at the target
	endedWhileDown []Task // tasks that ended while the process was down
	stateChangedAt time.Time
	reportedAt     time.Time
	answering      time.Time // when the message being handled was sent; zero if none is
}

func (a *simAgent) restart() {
	a.incarnation++
	a.stateChangedAt = a.sim.now
	a.member = NewMember(MemberConfig{
		Accelerators:     simAccelerators,
		Incarnation:      a.incarnation,
		IsolationTimeout: simIsolationTimeout,
		MaxTombstones:    8,
	})
	a.sim.stats.recovered += len(a.tasks)
	a.step(TasksRecovered{Tasks: slices.Concat(a.tasks, a.endedWhileDown)})
	a.endedWhileDown = nil
}

func (a *simAgent) crash() {
	// An agent that restarts all the time would keep renewing its recovered
	// tasks.
	if a.member == nil || a.sim.now.Sub(a.stateChangedAt) < simFenceWait {
		return
	}
	a.member = nil
	a.stateChangedAt = a.sim.now
	if a.sim.chance(0.5) {
		a.sim.after(a.sim.delay(), a.restart)
		return
	}
	a.sim.after(time.Duration(a.sim.rng.IntN(40))*time.Second, func() {
		if a.member == nil {
			a.restart()
		}
	})
}

// loseTasks crashes the target.
func (a *simAgent) loseTasks() {
	for _, t := range slices.Clone(a.tasks) {
		a.endTask(t.ID, TaskLost)
	}
}

func (a *simAgent) tick() {
	if a.member == nil {
		a.expireLeases()
		return
	}
	a.step(Tick{})
	a.renewLeases()
	if a.sim.now.Sub(a.reportedAt) >= simReportInterval {
		a.reportedAt = a.sim.now
		a.report()
	}
}

// renewLeases updates the target's copy of each task's deadline.
func (a *simAgent) renewLeases() {
	for _, task := range a.member.Tasks() {
		for i := range a.tasks {
			if a.tasks[i].ID == task.ID {
				a.tasks[i].RunUntil = task.RunUntil
			}
		}
	}
}

// expireLeases lets the target stop the tasks whose lease has expired while
// the agent is down.
func (a *simAgent) expireLeases() {
	for _, t := range slices.Clone(a.tasks) {
		expiry := a.stateChangedAt.Add(simIsolationTimeout)
		if until := time.Unix(0, t.RunUntil); t.Members > 1 && until.Before(expiry) {
			expiry = until
		}
		if !a.sim.now.Before(expiry) {
			a.endTask(t.ID, TaskLost)
		}
	}
}

func (a *simAgent) report() {
	sent := a.sim.now
	r := Reported{a.name, a.incarnation, a.member.Fence(), a.member.Timestamp(), a.member.Tasks()}
	for _, p := range a.sim.planners {
		a.sim.send(p, a, func() { p.handleReport(a, sent, r) })
	}
}

func (a *simAgent) step(ev MemberEvent) {
	if a.member == nil {
		return
	}
	for _, act := range a.member.Step(a.sim.now, ev) {
		switch act := act.(type) {
		case SendReply:
			a.reply(act)
		case StartTask:
			incarnation := a.incarnation
			a.sim.after(a.sim.delay(), func() { a.startTask(incarnation, act.Task) })
		case StopTask:
			a.sim.after(a.sim.delay(), func() { a.endTask(act.ID, TaskStopped) })
		}
	}
	a.sim.history.recordCommits(a)
}

func (a *simAgent) reply(s SendReply) {
	sent := a.answering
	for _, p := range a.sim.planners {
		if p.name() == s.To {
			a.sim.send(p, a, func() { p.handleReply(a, s.Reply, sent) })
		}
	}
}

// startTask is the target's side of StartTask. It refuses a start from before
// the agent's restart, and one that arrives after the task's stop.
func (a *simAgent) startTask(incarnation uint64, t Task) {
	if incarnation != a.incarnation || a.member == nil || a.sim.history.stopped[a.key(t.ID)] {
		return
	}
	a.sim.checkStart(a, t)
	a.tasks = append(a.tasks, t)
	result := Succeeded
	if a.sim.chance(0.15) {
		result = TaskFailed
	}
	runTime := time.Duration(5+a.sim.rng.IntN(60)) * time.Second
	a.sim.after(runTime, func() { a.endTask(t.ID, result) })
}

func (a *simAgent) endTask(id ID, r Result) {
	if r == TaskStopped {
		a.sim.history.stopped[a.key(id)] = true
	}
	i := slices.IndexFunc(a.tasks, func(t Task) bool { return t.ID == id })
	if i >= 0 {
		t := a.tasks[i]
		t.State, t.Result = StateEnded, r
		if a.member == nil {
			a.endedWhileDown = append(a.endedWhileDown, t)
		}
		a.tasks = slices.Delete(a.tasks, i, i+1)
		a.sim.history.recordEnd(a, id, r)
	}
	if i >= 0 || r == TaskStopped {
		a.step(TaskEnded{ID: id, Result: r, Checkpointed: r == TaskStopped})
	}
}

func (a *simAgent) key(id ID) simAgentAttempt { return simAgentAttempt{a.name, id} }
