package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

const (
	fullPace = 100
	// unknownPace is that of a run taken over from a predecessor.
	unknownPace = -1
	// paceRetryInterval is the pause before a pace that the worker has not confirmed is ordered
	// again; a worker answers within milliseconds.
	paceRetryInterval = 500 * time.Millisecond
	// lateOrderWindow is how long an order without an answer may still be carried out, after
	// newer ones. Workers were seen to take up to 12 s.
	lateOrderWindow = 13 * time.Second
	// paceRepeatInterval is how often a pace is ordered again while one is in doubt.
	paceRepeatInterval = time.Second
)

// PaceOrder sets the share of its full speed at which a run works.
type PaceOrder struct {
	Run     workload.RunID `cbor:"1,keyasint"`
	Percent int            `cbor:"2,keyasint"` // 0 to 100
}

// PaceResult is what became of a PaceOrder. One that is not done may still be carried
// out.
type PaceResult struct {
	PaceOrder
	Applied bool `cbor:"3,keyasint,omitempty"`
}

// pace is the speed that a run was told to work at.
type pace struct {
	percent int
	// confirmed: the worker has carried out the order for percent.
	confirmed bool
	sentAt    time.Duration
	// uncertainUntil: until then an older order that got no answer may be carried out.
	uncertainUntil time.Duration
}

// setPace orders another speed. Runs begin at full speed.
func (e *Engine) setPace(now time.Duration, p *placement, percent int) {
	if p.pace.percent == percent {
		return
	}
	p.pace.percent = percent
	p.pace.confirmed = false
	e.sendPace(now, p)
}

// sendPace orders the present speed. Before a start has left there is nobody to tell.
func (e *Engine) sendPace(now time.Duration, p *placement) {
	p.pace.sentAt = now
	if p.state == placementUnrecorded || p.stopping || !p.worker.attached {
		return
	}
	o := e.ordersFor(p.worker)
	o.Paces = append(o.Paces, PaceOrder{Run: p.runID(), Percent: p.pace.percent})
}

// resendPace repeats an order that may not be in force.
//
// The failure it guards against: an order for a higher speed gets no answer, a later one
// for a lower speed is confirmed, and the worker then carries out the first. The task
// would disturb its neighbours at full speed, and nothing it reports shows the speed.
func (e *Engine) resendPace(now time.Duration, p *placement) {
	if !p.unit.spec().BestEffortCPU || p.state != placementRunning {
		return
	}
	sinceSent := now - p.pace.sentAt
	if !p.pace.confirmed && sinceSent >= paceRetryInterval || now < p.pace.uncertainUntil && sinceSent >= paceRepeatInterval {
		e.sendPace(now, p)
	}
}

// handlePaceResult takes what became of an order.
func (e *Engine) handlePaceResult(now time.Duration, w *worker, r PaceResult) {
	p := w.placements[r.Run.Task]
	if p == nil || p.runNumber != r.Run.Number {
		return
	}
	if !r.Applied {
		p.pace.uncertainUntil = now + lateOrderWindow
		return
	}
	if p.pace.percent == r.Percent {
		p.pace.confirmed = true
	}
}
