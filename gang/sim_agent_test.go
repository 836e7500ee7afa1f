package gang

import (
	"slices"
	"time"
)

// simAgent is an agent and the target beside it, which outlives it.
type simAgent struct {
	w           *world
	name        string
	member      *Member // nil while the process is down
	incarnation uint64
	tasks       []Task // at the target
	finished    []Task // while there was no agent
	since       time.Time
	reported    time.Time
}

func (a *simAgent) restart() {
	a.incarnation++
	a.since = a.w.now
	a.member = NewMember(MemberConfig{
		Accelerators:     simGPUs,
		Incarnation:      a.incarnation,
		IsolationTimeout: simIsolation,
		MaxTombstones:    8,
	})
	a.w.stats.adopted += len(a.tasks)
	a.step(TasksRecovered{Tasks: slices.Concat(a.tasks, a.finished)})
	a.finished = nil
}

func (a *simAgent) crash() {
	// A process that restarts all the time would renew its adopted tasks.
	if a.member == nil || a.w.now.Sub(a.since) < simSettle {
		return
	}
	a.member = nil
	a.since = a.w.now
	if a.w.chance(0.5) {
		a.w.after(a.w.delay(), a.restart)
		return
	}
	a.w.after(time.Duration(a.w.rng.IntN(40))*time.Second, func() {
		if a.member == nil {
			a.restart()
		}
	})
}

// loseTasks lets the target die.
func (a *simAgent) loseTasks() {
	for _, t := range slices.Clone(a.tasks) {
		a.taskEnds(t.ID, TaskLost)
	}
}

func (a *simAgent) tick() {
	if a.member == nil {
		a.expireLeases()
		return
	}
	a.step(Tick{})
	a.renewLeases()
	if a.w.now.Sub(a.reported) >= simReport {
		a.reported = a.w.now
		a.report()
	}
}

// renewLeases keeps the target's copy of each task's deadline current.
func (a *simAgent) renewLeases() {
	for _, known := range a.member.Tasks() {
		for i := range a.tasks {
			if a.tasks[i].ID == known.ID {
				a.tasks[i].RunUntil = known.RunUntil
			}
		}
	}
}

// expireLeases lets the target stop tasks whose lease no agent renews.
func (a *simAgent) expireLeases() {
	for _, t := range slices.Clone(a.tasks) {
		expiry := a.since.Add(simIsolation)
		if until := time.Unix(0, t.RunUntil); t.Members > 1 && until.Before(expiry) {
			expiry = until
		}
		if !a.w.now.Before(expiry) {
			a.taskEnds(t.ID, TaskLost)
		}
	}
}

func (a *simAgent) report() {
	sent := a.w.now
	r := Reported{a.name, a.incarnation, a.member.Fence(), a.member.Timestamp(), a.member.Tasks()}
	for _, p := range a.w.planners {
		a.w.send(p, a, func() { p.report(a, sent, r) })
	}
}

func (a *simAgent) step(ev MemberEvent) {
	if a.member == nil {
		return
	}
	for _, act := range a.member.Step(a.w.now, ev) {
		switch act := act.(type) {
		case SendReply:
			a.reply(act)
		case StartTask:
			incarnation := a.incarnation
			a.w.after(a.w.delay(), func() { a.taskStarts(incarnation, act.Task) })
		case StopTask:
			a.w.after(a.w.delay(), func() { a.taskEnds(act.ID, TaskStopped) })
		}
	}
	a.w.truth.observe(a)
}

func (a *simAgent) reply(s SendReply) {
	for _, p := range a.w.planners {
		if p.name() == s.To {
			a.w.send(p, a, func() { p.reply(a, s.Reply) })
		}
	}
}

// taskStarts is the target's side of StartTask. It refuses a start from before
// the agent's restart, and one that was overtaken by its stop.
func (a *simAgent) taskStarts(incarnation uint64, t Task) {
	if incarnation != a.incarnation || a.member == nil || a.w.truth.stopped[a.key(t.ID)] {
		return
	}
	a.w.checkStart(a, t)
	a.tasks = append(a.tasks, t)
	result := Succeeded
	if a.w.chance(0.15) {
		result = TaskFailed
	}
	length := time.Duration(5+a.w.rng.IntN(60)) * time.Second
	a.w.after(length, func() { a.taskEnds(t.ID, result) })
}

func (a *simAgent) taskEnds(id ID, r Result) {
	if r == TaskStopped {
		a.w.truth.stopped[a.key(id)] = true
	}
	i := slices.IndexFunc(a.tasks, func(t Task) bool { return t.ID == id })
	if i >= 0 {
		t := a.tasks[i]
		t.State, t.Result = StateEnded, r
		if a.member == nil {
			a.finished = append(a.finished, t)
		}
		a.tasks = slices.Delete(a.tasks, i, i+1)
		a.w.truth.ended(a, id, r)
	}
	if i >= 0 || r == TaskStopped {
		a.step(TaskEnded{ID: id, Result: r, Checkpointed: r == TaskStopped})
	}
}

func (a *simAgent) key(id ID) simKey { return simKey{a.name, id} }
