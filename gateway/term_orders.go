package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// executeActions carries out the engine's decisions. A term whose lease has expired makes none.
func (t *term) executeActions() {
	if !t.active() {
		return
	}
	for _, action := range t.decide() {
		switch a := action.(type) {
		case engine.Orders:
			go t.sendOrders(a)
		case engine.Placed:
			t.probeAgents(a.Agents)
		case engine.AdviceRequest:
			go t.advise(a)
		case engine.Decision:
			t.logDecision(a)
		case engine.JobStarted:
			t.g.jobWaits.Observe(a.Account+"/"+a.Queue, a.Waited)
		case engine.WorkDiscarded:
			t.logDiscarded(a)
		case engine.WorkerResized:
			t.log.WithField("worker", a.Worker).WithField("detail", a.String()).Info("worker capacity changed")
		case engine.WorkerGone:
			t.logWorkerGone(a)
		case engine.WorkerSilent:
			t.logWorkerSilent(a)
		case engine.LeaseExpired:
			t.logLeaseExpired(a)
		case engine.WorkerSpeed:
			t.logWorkerSpeed(a)
		case engine.OutdatedReport:
			t.logOutdatedReport(a)
		case engine.JobLate:
			t.logLate(a)
		case engine.UnitsWait:
			t.g.unitWaits.Add(a.Account+"/"+a.Reason.String(), float64(a.Units))
		case engine.JobFinished:
			t.g.jobCompletions.Observe(a.Account+"/"+a.Queue+"/"+string(a.State), a.Took)
		}
	}
}

const (
	// planPauseFactor is the pause after a planning round as a multiple of the round's
	// duration, which limits planning to a third of the process's time. Otherwise frequent
	// reports could occupy a weak processor with planning alone and delay reports, renewals and
	// replies to clients.
	planPauseFactor = 2
	// maxPlanPause bounds the pause; a round may seem long because the process was suspended.
	maxPlanPause = 250 * time.Millisecond
	// planPauseThreshold is the duration of a round up to which no pause follows.
	planPauseThreshold = time.Millisecond
)

// decide lets the engine decide. It postpones planning while the cordons are too old, and after
// a long round.
func (t *term) decide() []engine.Action {
	start := lease.BootTime()
	if !t.g.cordonsFresh(start) {
		t.engine.DelayPlanning(start + tickInterval)
	}
	actions := t.engine.Decide(start)
	if took := lease.BootTime() - start; took > planPauseThreshold {
		t.engine.DelayPlanning(start + took + min(planPauseFactor*took, maxPlanPause))
	}
	return actions
}

// resetReplanTimer sets the timer to when a postponed round is due.
func (t *term) resetReplanTimer(timer *time.Timer) {
	until, due := t.engine.NextPlanning()
	if left := until - lease.BootTime(); due && left > 0 {
		timer.Reset(left)
	}
}

func (t *term) logDecision(d engine.Decision) {
	fields := logrus.Fields{"job": d.Job}
	if d.Detail != "" {
		fields["detail"] = d.Detail
	}
	if d.Run.Number != 0 {
		fields["task"] = d.Run.Task.String()
		fields["run"] = d.Run.Number
	}
	if d.Worker != "" {
		fields["worker"] = d.Worker
	}
	addReport(fields, d.Report)
	t.log.WithFields(fields).Info(d.Kind)
}

// sendOrders sends orders to an agent over the connection on which it last reported, and passes
// the results to the engine.
func (t *term) sendOrders(orders engine.Orders) {
	t.g.counters.Orders.Add(1)
	conn := t.connTo(orders.Agent)
	orders, unsent := t.withholdUnanswered(conn, orders)
	orders, withheld := t.withholdStarts(orders)
	var reply *link.OrdersReply
	if conn != nil && t.active() {
		reply = t.callAgent(conn, orders)
	}
	if reply == nil {
		reply = uniformReply(orders, engine.StartNotDelivered)
	}
	reply.Starts = slices.Concat(reply.Starts, unsent, withheld)
	if len(reply.Starts)+len(reply.Paces) > 0 {
		t.postEvent(engine.OrdersCompleted{Worker: orders.Worker, Starts: reply.Starts, Paces: reply.Paces})
	}
}

// callAgent returns the agent's reply. Without a reply, starts are StartNotDelivered if the
// agent has certainly not handled the orders, and StartUnknown otherwise.
func (t *term) callAgent(conn *wire.Conn, orders engine.Orders) *link.OrdersReply {
	if len(orders.Starts)+len(orders.Stops)+len(orders.Paces) == 0 {
		return &link.OrdersReply{}
	}
	ctx, cancel := context.WithTimeout(t.tomb.Context(context.Background()), ordersTimeout)
	defer cancel()
	raw, err := conn.Call(ctx, link.NewOrders(t.epoch, orders))
	if err != nil && outcomeOfCallError(err) == link.OutcomeNotStored {
		return uniformReply(orders, engine.StartNotDelivered)
	}
	reply, ok := raw.(*link.OrdersReply)
	if err != nil || !ok {
		return uniformReply(orders, engine.StartUnknown)
	}
	return reply
}

// uniformReply returns a reply with the same outcome for all starts and with no speed limit
// confirmed.
func uniformReply(orders engine.Orders, outcome engine.StartOutcome) *link.OrdersReply {
	reply := &link.OrdersReply{}
	for _, s := range orders.Starts {
		reply.Starts = append(reply.Starts, engine.StartResult{Run: s.Run, Outcome: outcome})
	}
	for _, p := range orders.Paces {
		reply.Paces = append(reply.Paces, engine.PaceResult{PaceOrder: p})
	}
	return reply
}
