package agent

import (
	"context"
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
	// maxTaskLease is the longest lease of a task at the target. It bounds the time
	// until accelerators come free after the agent has died.
	maxTaskLease = 15 * time.Second
	// renewalsPerLease is how often a lease is renewed within its duration.
	renewalsPerLease = 4
	// targetRetryInterval is the pause before a failed call to the target is repeated.
	targetRetryInterval = 500 * time.Millisecond
	// endedTaskRetention is the age up to which a restarted agent reports tasks that
	// ended. The previous incarnation has reported older ones.
	endedTaskRetention = time.Hour
	// workQueueSize bounds the functions that wait for the loop goroutine.
	workQueueSize = 1024
)

// gangRunner runs the gang.Member of this worker. Only the loop goroutine accesses the
// member; other goroutines send functions to it.
type gangRunner struct {
	tomb         *tomb.Tomb
	log          *logrus.Entry
	targetClient *target.Client
	workQueue    chan func()
	member       *gang.Member
	// incarnation is that of the agent.
	incarnation uint64
	timer       *time.Timer

	// tasksRecovered is closed once the member knows the tasks at the target.
	tasksRecovered chan struct{}

	// currentReply is the member's reply to the message being handled; further ones go
	// to pushReply.
	currentReply *gang.Reply
	// pushReply sends a reply that does not answer a message to the named entry.
	pushReply func(to string, r gang.Reply)
	// stateChanged is called on the loop goroutine after each event, when the
	// member's state may differ from what was last reported.
	stateChanged func(m *gang.Member)
}

// start starts the goroutines that recover the target's tasks and handle events.
func (g *gangRunner) start() {
	g.timer = time.NewTimer(time.Hour)
	g.tomb.Go(g.loop)
	g.tomb.Go(g.recoverTasks)
}

func (g *gangRunner) loop() error {
	defer g.timer.Stop()
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case handle := <-g.workQueue:
			handle()
		case <-g.timer.C:
			g.handleEvent(gang.Tick{})
		}
	}
}

// call runs f on the loop goroutine and waits for it. It returns false if ctx ended before
// f was queued or if the agent is stopping; f may not have run then.
func (g *gangRunner) call(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	run := func() {
		f()
		close(done)
	}
	select {
	case g.workQueue <- run:
	case <-ctx.Done():
		return false
	case <-g.tomb.Dying():
		return false
	}
	select {
	case <-done:
		return true
	case <-g.tomb.Dying():
		return false
	}
}

// postEvent queues an event for the member without waiting until it is handled.
func (g *gangRunner) postEvent(ev gang.MemberEvent) {
	select {
	case g.workQueue <- func() { g.handleEvent(ev) }:
	case <-g.tomb.Dying():
	}
}

// handleMessage returns the member's reply to a coordinator's message, or nil if the
// message is invalid or the agent is stopping.
func (g *gangRunner) handleMessage(ctx context.Context, from string, m *wire.GangMessage) *gang.Reply {
	var env gang.Envelope
	if err := cbor.Unmarshal(m.Payload, &env); err != nil {
		return nil
	}
	msg := env.Message()
	if msg == nil {
		return nil
	}
	var reply *gang.Reply
	g.call(ctx, func() {
		g.currentReply = nil
		g.handleEvent(gang.Received{From: from, Message: msg})
		reply, g.currentReply = g.currentReply, nil
	})
	return reply
}

// handleEvent passes an event to the member and carries out the resulting actions. It
// runs on the loop goroutine.
func (g *gangRunner) handleEvent(ev gang.MemberEvent) {
	_, isMessage := ev.(gang.Received)
	for _, a := range g.member.Step(clock.Now(), ev) {
		switch a := a.(type) {
		case gang.SendReply:
			g.sendReply(a, isMessage)
		case gang.StartTask:
			g.tomb.Go(func() error { return g.startTask(a) })
		case gang.StopTask:
			g.tomb.Go(func() error { return g.stopTask(a) })
		case gang.TickAt:
			g.timer.Reset(clock.Until(a.At))
		}
	}
	g.stateChanged(g.member)
}

func (g *gangRunner) sendReply(a gang.SendReply, isMessage bool) {
	if isMessage && g.currentReply == nil {
		g.currentReply = &a.Reply
		return
	}
	g.pushReply(a.To, a.Reply)
}

// leaseDuration returns the lease of a task at the target. For a task of several members
// it ends by the isolation deadline, so that the target has stopped the task before a
// planner starts the gang elsewhere, even if this agent dies.
func leaseDuration(t gang.Task) time.Duration {
	if t.Members <= 1 {
		return maxTaskLease
	}
	return min(maxTaskLease, clock.Until(time.Unix(0, t.RunUntil)))
}

// hasActiveTasks reports whether any task has not ended, reservations included.
func (g *gangRunner) hasActiveTasks(ctx context.Context) bool {
	active := false
	g.call(ctx, func() {
		for _, t := range g.member.Tasks() {
			active = active || t.State != gang.StateEnded
		}
	})
	return active
}

func (g *gangRunner) setIsolationTimeout(d time.Duration) {
	select {
	case g.workQueue <- func() { g.member.SetIsolationTimeout(d) }:
	case <-g.tomb.Dying():
	}
}
