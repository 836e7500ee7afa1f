package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

const (
	// fullPace is the limit, in percent of full speed, of a run that is not slowed down.
	fullPace = 100
	// unknownPace is the limit of an adopted run until this planner sets one.
	unknownPace = -1
	// paceRetryInterval is the time after which an unconfirmed limit is ordered again.
	paceRetryInterval = 500 * time.Millisecond
	// lateOrderWindow is how long an unanswered order may still take effect, possibly after
	// newer ones, with a margin.
	lateOrderWindow = MaxCallDelay + time.Second
	// paceRepeatInterval is the interval at which a limit is ordered again within
	// lateOrderWindow.
	paceRepeatInterval = time.Second
)

// PaceOrder limits the speed of a run.
type PaceOrder struct {
	Run     workload.RunID `cbor:"1,keyasint"`
	Percent int            `cbor:"2,keyasint"` // percent of full speed, 0 to 100
}

// PaceResult is the result of a PaceOrder.
type PaceResult struct {
	PaceOrder
	// Applied is set once the worker has confirmed the limit. An order without it may still
	// take effect.
	Applied bool `cbor:"3,keyasint,omitempty"`
}

// pace is the speed limit of a run as last ordered.
type pace struct {
	// percent of full speed, or unknownPace.
	percent int
	// confirmed is set when the worker has confirmed percent.
	confirmed bool
	sentAt    time.Duration
	// uncertainUntil is the time until which an older, unanswered order may take effect.
	uncertainUntil time.Duration
}

// setPace orders a new speed limit. Runs start at full speed.
func (e *Engine) setPace(now time.Duration, p *placement, percent int) {
	if p.pace.percent == percent {
		return
	}
	p.pace.percent = percent
	p.pace.confirmed = false
	e.sendPace(now, p)
}

// sendPace orders the current limit, unless the start has not been sent yet, the run is being
// stopped, or the worker is not attached.
func (e *Engine) sendPace(now time.Duration, p *placement) {
	p.pace.sentAt = now
	if p.state == placementUnrecorded || p.stopping || !p.worker.attached {
		return
	}
	o := e.ordersFor(p.worker)
	o.Paces = append(o.Paces, PaceOrder{Run: p.runID(), Percent: p.pace.percent})
}

// resendPace repeats the current limit while it may not have taken effect.
//
// An unanswered order to speed up may take effect after a later, confirmed order to slow down.
// The run would then disturb its neighbours, and its reports do not show its speed.
func (e *Engine) resendPace(now time.Duration, p *placement) {
	if !p.unit.spec().BestEffortCPU || p.state != placementRunning {
		return
	}
	sinceSent := now - p.pace.sentAt
	if !p.pace.confirmed && sinceSent >= paceRetryInterval || now < p.pace.uncertainUntil && sinceSent >= paceRepeatInterval {
		e.sendPace(now, p)
	}
}

// handlePaceResult processes the result of a PaceOrder.
func (e *Engine) handlePaceResult(now time.Duration, w *worker, r PaceResult) {
	p := w.placements[r.Run.Task]
	if p == nil || p.runNumber != r.Run.Number {
		return
	}
	if !r.Applied {
		p.pace.uncertainUntil = now + lateOrderWindow
		return
	}
	// An older limit may have been applied after the newer one, even if that was confirmed.
	p.pace.confirmed = p.pace.percent == r.Percent
}
