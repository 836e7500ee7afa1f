package agent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/target"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

const (
	// taskLease is how long the target runs a task after this agent's last
	// renewal: the time in which accelerators come free when the agent dies.
	taskLease = 15 * time.Second
	// renewals is how often a lease is renewed before it could lapse.
	renewals = 4
	// adoptRetry is the pause between attempts to list the target's tasks.
	adoptRetry = 500 * time.Millisecond
	// adoptEnded is how long ago a task may have ended for a restarted agent to
	// report its result: an earlier end has been reported by the earlier life.
	adoptEnded = time.Hour
	// memberQueue bounds events that wait for the member's goroutine.
	memberQueue = 1024
)

// gangs runs the gang.Member of this worker. Its loop goroutine alone touches
// the member; everyone else sends it functions.
type gangs struct {
	t      *tomb.Tomb
	log    *logrus.Entry
	target *target.Client
	work   chan func()
	member *gang.Member
	timer  *time.Timer
	inc    uint64

	// replies holds the reply of the Step in progress to the message it handled.
	reply *gang.Reply
	// push sends a reply that no message asked for, to the entry it names.
	push func(to string, r gang.Reply)
	// changed tells the reporter that the member may no longer be what it
	// reported. It is called on the loop's goroutine.
	changed func(m *gang.Member)
}

// start adopts what the target runs and then serves. It returns at once.
func (g *gangs) start() {
	g.timer = time.NewTimer(time.Hour)
	g.t.Go(g.loop)
	g.t.Go(g.adopt)
}

func (g *gangs) loop() error {
	defer g.timer.Stop()
	for {
		select {
		case <-g.t.Dying():
			return nil
		case f := <-g.work:
			f()
		case <-g.timer.C:
			g.step(gang.Tick{})
		}
	}
}

// do runs f on the loop's goroutine and waits for it. False: the agent stops.
func (g *gangs) do(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	run := func() {
		f()
		close(done)
	}
	select {
	case g.work <- run:
	case <-ctx.Done():
		return false
	case <-g.t.Dying():
		return false
	}
	select {
	case <-done:
		return true
	case <-g.t.Dying():
		return false
	}
}

// event hands an event to the member without waiting for its effects.
func (g *gangs) event(ev gang.MemberEvent) {
	select {
	case g.work <- func() { g.step(ev) }:
	case <-g.t.Dying():
	}
}

// adopt asks the target what it runs. Until then an accelerator that looks
// free may be in use by a task of the agent's earlier life, so the member
// refuses everything.
func (g *gangs) adopt() error {
	ctx := g.t.Context(nil)
	for {
		tasks, err := g.target.Tasks(ctx)
		if err == nil {
			g.adoptTasks(tasks)
			return nil
		}
		select {
		case <-time.After(adoptRetry):
		case <-g.t.Dying():
			return nil
		}
	}
}

func (g *gangs) adoptTasks(statuses []target.TaskStatus) {
	var tasks []gang.Task
	running := 0
	for _, s := range statuses {
		if s.State.Final() && time.Since(s.Ended) > adoptEnded {
			continue
		}
		tasks = append(tasks, adopted(s, clock.Now()))
		if !s.State.Final() {
			running++
		}
	}
	if len(tasks) > 0 {
		g.log.WithFields(logrus.Fields{"running": running, "ended": len(tasks) - running}).Info("adopted the target's tasks")
	}
	g.event(gang.Adopted{Tasks: tasks})
	for _, t := range tasks {
		if t.State != gang.StateEnded {
			g.t.Go(func() error { return g.watch(t.ID) })
		}
	}
}

// handle answers one message of a coordinator. A nil reply means that the
// message could not be read or that the agent stops.
func (g *gangs) handle(ctx context.Context, from string, m *wire.Gang) *gang.Reply {
	var env gang.Envelope
	if err := cbor.Unmarshal(m.Payload, &env); err != nil {
		return nil
	}
	msg := env.Message()
	if msg == nil {
		return nil
	}
	var reply *gang.Reply
	g.do(ctx, func() {
		g.reply = nil
		g.step(gang.Received{From: from, Message: msg})
		reply, g.reply = g.reply, nil
	})
	return reply
}

// step runs on the loop's goroutine.
func (g *gangs) step(ev gang.MemberEvent) {
	_, answering := ev.(gang.Received)
	for _, a := range g.member.Step(clock.Now(), ev) {
		switch a := a.(type) {
		case gang.SendReply:
			g.sendReply(a, answering)
		case gang.StartTask:
			g.t.Go(func() error { return g.run(a) })
		case gang.StopTask:
			g.t.Go(func() error { return g.stopTask(a) })
		case gang.WakeMember:
			g.timer.Reset(clock.Until(a.At))
		}
	}
	g.changed(g.member)
}

func (g *gangs) sendReply(a gang.SendReply, answering bool) {
	if answering && g.reply == nil {
		g.reply = &a.Reply
		return
	}
	g.push(a.To, a.Reply)
}

// run starts a task and follows it to its end.
func (g *gangs) run(a gang.StartTask) error {
	var spec target.TaskSpec
	if err := cbor.Unmarshal(a.Spec, &spec); err != nil {
		g.ended(a.Task.ID, gang.TaskFailed, false, "task spec: "+err.Error())
		return nil
	}
	spec.Accelerators = a.Task.Accelerators
	spec.LeaseMS = max(1, leaseFor(a.Task).Milliseconds())
	spec.Epoch = a.Task.ID.Epoch
	ctx, cancel := context.WithTimeout(g.t.Context(nil), taskLease)
	defer cancel()
	_, err := g.target.StartTask(ctx, targetID(a.Task.ID), spec)
	if err != nil {
		return g.startFailed(a.Task.ID, err)
	}
	return g.watch(a.Task.ID)
}

// startFailed makes sure that a start whose outcome is not known does not run
// on unseen: the target marks the task as stopped, and refuses a late start.
func (g *gangs) startFailed(id gang.ID, err error) error {
	g.log.WithError(err).WithField("job", id.Job).Warn("target did not start the task")
	ctx, cancel := context.WithTimeout(g.t.Context(nil), taskLease)
	defer cancel()
	if _, stopErr := g.target.StopTask(ctx, targetID(id), false); stopErr != nil {
		g.ended(id, gang.TaskLost, false, err.Error())
		return nil
	}
	g.ended(id, gang.TaskFailed, false, err.Error())
	return nil
}

// watch renews a task's lease and waits for its end.
func (g *gangs) watch(id gang.ID) error {
	tid := targetID(id)
	lost := time.Now().Add(taskLease)
	for {
		ctx, cancel := context.WithTimeout(g.t.Context(nil), taskLease)
		status, err := g.renewAndWait(ctx, tid)
		cancel()
		select {
		case <-g.t.Dying():
			return nil
		default:
		}
		switch {
		case err == nil && status.State.Final():
			g.ended(id, resultOf(status.State), status.Checkpoint != nil, detailOf(status))
			return nil
		case err == nil:
			lost = time.Now().Add(taskLease)
		case time.Now().After(lost):
			// The lease that the target last heard of has lapsed: it has stopped
			// the task, or it is gone itself.
			g.ended(id, gang.TaskLost, false, err.Error())
			return nil
		default:
			g.pause(adoptRetry)
		}
	}
}

func (g *gangs) renewAndWait(ctx context.Context, id target.TaskID) (target.TaskStatus, error) {
	lease, ok := g.leaseOf(ctx, id)
	if !ok {
		return g.target.Task(ctx, id, taskLease/renewals)
	}
	status, err := g.target.RenewTask(ctx, id, lease)
	if err != nil || status.State.Final() {
		return status, err
	}
	// A status call that is held for longer than the lease lasts would let the
	// target stop a task that is well: isolation may be much shorter than
	// taskLease.
	return g.target.Task(ctx, id, lease/renewals)
}

// leaseOf is the lease to renew; false when there is none left.
func (g *gangs) leaseOf(ctx context.Context, id target.TaskID) (time.Duration, bool) {
	lease := taskLease
	g.do(ctx, func() {
		for _, t := range g.member.Tasks() {
			if t.ID == gangID(id) {
				lease = leaseFor(t)
			}
		}
	})
	return lease, lease > 0
}

// leaseFor is the lease of a task. One of several members gets none beyond its
// isolation deadline: if this agent dies, the target must have stopped the task
// by the time after which a planner starts the gang elsewhere.
func leaseFor(t gang.Task) time.Duration {
	if t.Members <= 1 {
		return taskLease
	}
	return min(taskLease, clock.Until(time.Unix(0, t.RunUntil)))
}

func (g *gangs) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-g.t.Dying():
	}
}

// stopTask asks the target to stop; watch then sees the end.
func (g *gangs) stopTask(a gang.StopTask) error {
	ctx, cancel := context.WithTimeout(g.t.Context(nil), taskLease)
	defer cancel()
	if _, err := g.target.StopTask(ctx, targetID(a.ID), a.Checkpoint); err != nil {
		g.log.WithError(err).WithField("job", a.ID.Job).Warn("target did not stop the task")
	}
	return nil
}

func (g *gangs) ended(id gang.ID, r gang.Result, checkpointed bool, detail string) {
	g.event(gang.TaskEnded{ID: id, Result: r, Checkpointed: checkpointed, Detail: detail})
}

func resultOf(s target.TaskState) gang.Result {
	switch s {
	case target.TaskDone:
		return gang.Succeeded
	case target.TaskFailed:
		return gang.TaskFailed
	case target.TaskStopped:
		return gang.TaskStopped
	default:
		return gang.TaskLost
	}
}

// detailOf is the task's result, its error, or the checkpoint that a stopped task
// can go on from.
func detailOf(s target.TaskStatus) string {
	if s.Error != "" {
		return s.Error
	}
	if s.State == target.TaskStopped && s.Checkpoint != nil {
		if data, err := json.Marshal(s.Checkpoint); err == nil {
			return string(data)
		}
	}
	return string(s.Result)
}

// busy says whether any attempt holds accelerators or runs.
func (g *gangs) busy(ctx context.Context) bool {
	busy := false
	g.do(ctx, func() {
		for _, t := range g.member.Tasks() {
			busy = busy || t.State != gang.StateEnded
		}
	})
	return busy
}

func (g *gangs) setIsolation(d time.Duration) {
	select {
	case g.work <- func() { g.member.SetIsolation(d) }:
	case <-g.t.Dying():
	}
}
