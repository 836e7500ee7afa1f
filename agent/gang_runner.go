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
	// incarnation is the agent's.
	incarnation uint64
	timer       *time.Timer

	// adopted is closed once the member knows the target's tasks.
	adopted chan struct{}

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

// handle answers one message of a coordinator. A nil reply means that the
// message could not be read or that the agent stops.
func (g *gangs) handle(ctx context.Context, from string, m *wire.GangMessage) *gang.Reply {
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
		case gang.TickAt:
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

// leaseFor is the lease of a task. One of several members gets none beyond its
// isolation deadline: if this agent dies, the target must have stopped the task
// by the time after which a planner starts the gang elsewhere.
func leaseFor(t gang.Task) time.Duration {
	if t.Members <= 1 {
		return taskLease
	}
	return min(taskLease, clock.Until(time.Unix(0, t.RunUntil)))
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
	case g.work <- func() { g.member.SetIsolationTimeout(d) }:
	case <-g.t.Dying():
	}
}
