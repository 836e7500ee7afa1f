package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// handleOrderResults processes the results of one set of orders. Only a definite refusal
// releases the capacity of a placement. An unanswered start may still take effect, so its run
// is stopped and keeps its capacity until the stop is confirmed.
func (e *Engine) handleOrderResults(now time.Duration, ev OrdersCompleted) {
	w := e.workers[ev.Worker]
	if w == nil {
		return
	}
	for _, r := range ev.Starts {
		p := w.placements[r.Run.Task]
		if p == nil || p.runNumber != r.Run.Number {
			continue
		}
		p.noteStartResult(now, r)
		if p.state == placementOrdered {
			e.handleStartOutcome(now, p, r.Outcome)
		}
	}
	for _, r := range ev.Paces {
		e.handlePaceResult(now, w, r)
	}
}

// handleStartOutcome processes the result of one start order.
func (e *Engine) handleStartOutcome(now time.Duration, p *placement, outcome StartOutcome) {
	switch outcome {
	case StartOK:
		e.markRunning(now, p)
		return
	case StartUnknown:
		e.logDecision(p, "start unanswered", "")
		e.countWorkerFailure(now, p)
		e.markRetry(p.unit)
		e.stopUnit(now, p.unit, CauseStartUnanswered)
		return
	case StartUnhealthy:
		if e.params.Policy.WorkerHealth {
			p.worker.health.startBackoff(now)
		}
	case StartNoCapacity:
		p.worker.health.pauseForCapacity(now)
	case StartInvalid:
		e.logDecision(p, "start invalid", "")
		p.unit.notBefore = now + p.unit.invalidBackoff.next(minInvalidOrderDelay, maxInvalidOrderDelay)
	case StartNoTicket:
		delete(p.unit.tickets().granted, p.worker.info.ID)
	}
	e.logDecision(p, "start refused", outcome.String())
	if outcome == StartFenced || outcome == StartNotDelivered || outcome == StartCordoned || outcome == StartNoTicket {
		p.unit.notBefore = now + refusedStartDelay
	}
	e.markRetry(p.unit)
	e.removePlacement(now, p)
	e.markChanged(p.unit.job)
}

// refusedStartDelay delays the next placement of a unit whose order was not delivered, or was
// refused because of a newer planner, a cordon or its ticket, so that it is not refused again at once.
const refusedStartDelay = 100 * time.Millisecond

// minInvalidOrderDelay and maxInvalidOrderDelay bound the backoff of a unit whose start order
// the worker could not decode. The order does not change, but a newer worker may accept it.
const (
	minInvalidOrderDelay = 200 * time.Millisecond
	maxInvalidOrderDelay = 2 * time.Second
)

// markRunning records that the worker has confirmed a run.
func (e *Engine) markRunning(now time.Duration, p *placement) {
	if p.state == placementRunning {
		return
	}
	if p.state == placementAdopted {
		p.progressedAt = now
		// The speed limit that the previous planner set is not known.
		p.pace = pace{percent: unknownPace, confirmed: true}
	}
	p.state = placementRunning
	p.unit.invalidBackoff.reset()
	p.unit.noteStartWithTicket()
	if p.startedAt == 0 {
		p.startedAt = now
	}
	j := p.unit.job
	if !j.started {
		j.started = true
		e.actions = append(e.actions, JobStarted{Account: j.spec.Account, Queue: j.spec.Queue, Waited: now - j.acceptedAt})
		if j.state == workload.Queued {
			j.state = workload.Running
		}
	}
}

var startOutcomeNames = [...]string{
	StartUnknown:      "unknown",
	StartOK:           "ok",
	StartNotDelivered: "not delivered",
	StartNoCapacity:   "no capacity",
	StartSuperseded:   "run number too low",
	StartExpired:      "order expired",
	StartFenced:       "fenced by a newer planner",
	StartUnhealthy:    "unhealthy",
	StartInvalid:      "invalid",
	StartDraining:     "draining",
	StartNoTicket:     "invalid ticket",
	StartCordoned:     "zone cordoned",
}

// String returns the outcome's name for logs.
func (o StartOutcome) String() string {
	if o < 0 || int(o) >= len(startOutcomeNames) {
		return "unknown outcome"
	}
	return startOutcomeNames[o]
}
