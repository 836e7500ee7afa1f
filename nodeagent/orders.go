package nodeagent

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/wire"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// handle serves orders of the planner.
func (a *Agent) handle(ctx context.Context, _ *wire.Conn, msg any) (any, error) {
	orders, ok := msg.(*link.Orders)
	if !ok {
		return nil, wire.NotHandled(eris.Errorf("unexpected message %T", msg))
	}
	starts, err := orders.DecodeStarts()
	if err != nil {
		return nil, wire.NotHandled(err)
	}
	return a.execute(orders, starts), nil
}

// execute carries out all orders concurrently; paces follow after the starts. It continues if
// the planner cancels the call: the planner's next orders resolve partially executed ones.
func (a *Agent) execute(orders *link.Orders, starts []engine.StartOrder) *link.OrdersReply {
	reply := &link.OrdersReply{Starts: make([]engine.StartResult, len(starts))}
	header, inc, outcome := a.admit(orders, starts)
	var wg sync.WaitGroup
	for i, s := range starts {
		reply.Starts[i] = engine.StartResult{Run: s.Run, Outcome: outcome}
		if outcome == engine.StartOK {
			wg.Go(func() { reply.Starts[i] = a.start(header, orders, s) })
		}
	}
	if inc != nil && len(orders.Stops) > 0 {
		for _, run := range orders.Stops {
			wg.Go(func() { a.stop(header, inc, run) })
		}
	}
	wg.Wait()
	reply.Paces = a.setPaces(header, inc, orders.Paces)
	if inc != nil && len(orders.Stops) > 0 {
		go a.poll(inc, 0)
	}
	return reply
}

// setPaces sets the speed of runs, which may just have been started.
func (a *Agent) setPaces(header OrderHeader, inc *incarnation, orders []engine.PaceOrder) []engine.PaceResult {
	results := make([]engine.PaceResult, len(orders))
	var wg sync.WaitGroup
	for i, p := range orders {
		results[i].PaceOrder = p
		if inc != nil {
			wg.Go(func() { results[i].Applied = a.setPace(header, p) })
		}
	}
	wg.Wait()
	return results
}

func (a *Agent) setPace(header OrderHeader, p engine.PaceOrder) bool {
	a.counters.Paces.Add(1)
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), orderTimeout)
	defer cancel()
	if err := a.cfg.Worker.Pace(ctx, header, p); err != nil {
		a.counters.PacesUnknown.Add(1)
		return false
	}
	return true
}

// admit checks whether orders are for the current incarnation and from the newest planner. The
// outcome is StartOK if starts may proceed. They then count as unanswered, so that no report that is
// built under a later epoch lacks them.
func (a *Agent) admit(orders *link.Orders, starts []engine.StartOrder) (OrderHeader, *incarnation, engine.StartOutcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if orders.Epoch < a.epoch {
		return OrderHeader{}, nil, engine.StartFenced
	}
	a.raiseEpoch(orders.Epoch)
	inc := a.incarnation
	if inc == nil || inc.info.ID != orders.Worker {
		return OrderHeader{}, nil, engine.StartNotDelivered
	}
	until := a.startLimit(orders)
	header := OrderHeader{Worker: inc.info.ID, Fence: inc.fence}
	leaseEnd := inc.workerTime(until)
	switch {
	case inc.draining:
		return header, inc, engine.StartDraining
	case a.cordon.refuses(orders.CordonsRevision):
		a.counters.StartsCordoned.Add(int64(len(orders.Starts)))
		return header, inc, engine.StartCordoned
	case until-now() < minGrantForStart && a.grantedUntil-now() >= minGrantForStart, now() > ordersExpiry(orders, maxOrderAge):
		a.counters.StartsOutdated.Add(int64(len(orders.Starts)))
		return header, inc, engine.StartNotDelivered
	case leaseEnd == 0 || inc.unresponsive || inc.capacityUnconfirmed || inc.leaseMayHaveExpired(now()) || until-now() < minGrantForStart:
		return header, inc, engine.StartNotDelivered
	}
	header.LeaseEnd = leaseEnd // only starts extend it, which are counted here
	inc.extendLease(until)
	for _, s := range starts {
		a.unansweredStarts.add(s.Run, now())
	}
	return header, inc, engine.StartOK
}

// startLimit returns the time after which no start of orders may take effect: the end of the lease by
// which the planner decided on them, since it takes them for lost then, whatever lease the worker has
// by now. The mutex is held.
func (a *Agent) startLimit(orders *link.Orders) time.Duration {
	switch orders.AgentProcess {
	case 0: // not numbered
		return a.grantedUntil
	case a.process:
		until := min(a.grantedUntil, orders.GrantedAt+a.cfg.MaxLease)
		if orders.GrantedAt <= a.limitedAt {
			until = min(until, a.limitedTo)
		}
		return until
	}
	return 0 // decided on reports of an earlier process
}

// ordersExpiry returns the time from which on the starts of orders are older than age. It is in the
// far future if the planner does not tell when that was.
func ordersExpiry(orders *link.Orders, age time.Duration) time.Duration {
	if orders.AgentProcess == 0 || orders.DecidedAfter == 0 {
		return math.MaxInt64
	}
	return orders.GrantedAt + orders.DecidedAfter + age
}

// start retries a start until the worker answers. The outcome is unknown if it never does.
func (a *Agent) start(header OrderHeader, orders *link.Orders, s engine.StartOrder) engine.StartResult {
	a.counters.Starts.Add(1)
	outcome, unanswered := engine.StartUnknown, false
	for attempt := range startAttempts {
		tooLate := now() > ordersExpiry(orders, startLimit-orderTimeout) // the process may have been paused
		if attempt == 0 && tooLate {
			outcome = engine.StartNotDelivered
			break
		}
		if tooLate || attempt > 0 && a.startsRefused(orders.CordonsRevision) {
			break // the earlier attempt may have succeeded
		}
		ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), orderTimeout)
		outcome = a.cfg.Worker.Start(ctx, header, s)
		cancel()
		unanswered = unanswered || outcome == engine.StartUnknown
		if outcome == engine.StartOK {
			break
		}
		if attempt > 0 || outcome == StartInterrupted {
			// A refusal of this attempt does not rule out that an earlier, unanswered or
			// interrupted one succeeded.
			outcome = engine.StartUnknown
		}
		if outcome != engine.StartUnknown {
			break
		}
	}
	switch outcome {
	case engine.StartOK:
	case engine.StartUnknown:
		a.counters.StartsUnknown.Add(1)
	default:
		a.counters.StartsRefused.Add(1)
	}
	a.endStart(s.Run, unanswered)
	return engine.StartResult{Run: s.Run, Outcome: outcome, CallUnanswered: unanswered, CallsOver: !unanswered}
}

// stop stops a run. If the worker does not confirm it, the planner asks again.
func (a *Agent) stop(header OrderHeader, inc *incarnation, run workload.RunID) {
	a.counters.Stops.Add(1)
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), orderTimeout)
	defer cancel()
	err := a.cfg.Worker.Stop(ctx, header, run)
	if errors.Is(err, ErrOtherIncarnation) {
		return // the next poll detects it
	}
	if err != nil {
		a.counters.StopsUnknown.Add(1)
		return
	}
	a.mu.Lock()
	inc.confirmedStops[run] = now()
	a.mu.Unlock()
}
