package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// ordersEnded handles the answers to orders. Only a certain refusal frees the room;
// an order without an answer may still be carried out, so its run is stopped and
// keeps its room until that is confirmed.
func (e *Engine) ordersEnded(now time.Duration, ev OrdersCompleted) {
	w := e.workers[ev.Worker]
	if w == nil {
		return
	}
	for _, r := range ev.Starts {
		p := w.places[r.Run.Task]
		if p == nil || p.run != r.Run.Number || p.state != placeOrdered {
			continue
		}
		e.started(now, p, r.Outcome)
	}
	for _, r := range ev.Paces {
		e.paced(now, w, r)
	}
}

func (e *Engine) started(now time.Duration, p *placement, outcome StartOutcome) {
	switch outcome {
	case StartOK:
		e.running(now, p)
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
		p.unit.notBefore = now + p.unit.invalid.next(invalidFirst, invalidMost)
	case StartNoTicket:
		delete(p.unit.job.ticketsFor(p.unit.at()).granted, p.worker.info.ID)
	}
	e.logDecision(p, "start refused", outcome.String())
	if outcome == StartFenced || outcome == StartNotDelivered || outcome == StartCordoned {
		p.unit.notBefore = now + refusedPause
	}
	e.markRetry(p.unit)
	e.removePlacement(now, p)
	e.markChanged(p.unit.job)
}

// refusedPause keeps a unit from being placed again at once after an order that could
// not be delivered; the connection is replaced or given up within that time.
const refusedPause = 100 * time.Millisecond

// invalidFirst and invalidMost bound the pause of a unit whose order a worker can't read: the
// next order is the same, but the worker may be replaced by one that can.
const (
	invalidFirst = 200 * time.Millisecond
	invalidMost  = 2 * time.Second
)

// running notes that a run is there.
func (e *Engine) running(now time.Duration, p *placement) {
	if p.state == placeRunning {
		return
	}
	if p.state == placeAdopted {
		p.movedAt = now
		// Its speed is a predecessor's, and not known.
		p.pace = pace{percent: unknownPace, confirmed: true}
	}
	p.state = placeRunning
	p.unit.invalid.reset()
	if p.began == 0 {
		p.began = now
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

var outcomeNames = [...]string{
	StartUnknown:      "unknown",
	StartOK:           "ok",
	StartNotDelivered: "not sent",
	StartNoCapacity:   "no room",
	StartSuperseded:   "run number too low",
	StartExpired:      "too late",
	StartFenced:       "newer planner",
	StartUnhealthy:    "unhealthy",
	StartInvalid:      "invalid",
	StartDraining:     "draining",
	StartNoTicket:     "ticket not valid",
	StartCordoned:     "zone cordoned",
}

// String returns a name for logs.
func (o StartOutcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "unnamed"
	}
	return outcomeNames[o]
}
