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
	// maxTaskLease is how long the target runs a task after this agent's last
	// renewal: the time in which accelerators come free when the agent dies.
	maxTaskLease = 15 * time.Second
	// renewalsPerLease is how often a lease is renewed before it could lapse.
	renewalsPerLease = 4
	// targetRetryInterval is the pause between attempts to list the target's tasks.
	targetRetryInterval = 500 * time.Millisecond
	// endedTaskRetention is how long ago a task may have ended for a restarted agent to
	// report its result: an earlier end has been reported by the earlier life.
	endedTaskRetention = time.Hour
	// memberQueueSize bounds events that wait for the member's goroutine.
	memberQueueSize = 1024
)

// gangRunner runs the gang.Member of this worker. Its loop goroutine alone touches
// the member; everyone else sends it functions.
type gangRunner struct {
	tomb         *tomb.Tomb
	log          *logrus.Entry
	targetClient *target.Client
	events       chan func()
	member       *gang.Member
	// incarnation is the agent's.
	incarnation uint64
	timer       *time.Timer

	// tasksRecovered is closed once the member knows the target's tasks.
	tasksRecovered chan struct{}

	// replies holds the currentReply of the Step in progress to the message it handled.
	currentReply *gang.Reply
	// pushReply sends a reply that no message asked for, to the entry it names.
	pushReply func(to string, r gang.Reply)
	// stateChanged tells the reporter that the member may no longer be what it
	// reported. It is called on the loop's goroutine.
	stateChanged func(m *gang.Member)
}

// start adopts what the target runs and then serves. It returns at once.
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
		case handle := <-g.events:
			handle()
		case <-g.timer.C:
			g.handleEvent(gang.Tick{})
		}
	}
}

// call runs f on the loop's goroutine and waits for it. False: the agent stops.
func (g *gangRunner) call(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	run := func() {
		f()
		close(done)
	}
	select {
	case g.events <- run:
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

// postEvent hands an postEvent to the member without waiting for its effects.
func (g *gangRunner) postEvent(ev gang.MemberEvent) {
	select {
	case g.events <- func() { g.handleEvent(ev) }:
	case <-g.tomb.Dying():
	}
}

// handleMessage answers one message of a coordinator. A nil reply means that the
// message could not be read or that the agent stops.
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

// handleEvent runs on the loop's goroutine.
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

// leaseDuration is the lease of a task. One of several members gets none beyond its
// isolation deadline: if this agent dies, the target must have stopped the task
// by the time after which a planner starts the gang elsewhere.
func leaseDuration(t gang.Task) time.Duration {
	if t.Members <= 1 {
		return maxTaskLease
	}
	return min(maxTaskLease, clock.Until(time.Unix(0, t.RunUntil)))
}

// hasActiveTasks says whether any attempt holds accelerators or runs.
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
	case g.events <- func() { g.member.SetIsolationTimeout(d) }:
	case <-g.tomb.Dying():
	}
}
