package engine

import (
	"math"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workerspeed"
)

const (
	// maxInheritedPrecision bounds the evidence that an incarnation inherits from the one before.
	// A new incarnation usually has the same hardware, but may have another; the first runs then
	// outweigh what was inherited.
	maxInheritedPrecision = 8
	// minEffectChange and minPrecisionGrowth are the changes from which a SpeedRecord is sent
	// again: a twentieth of the run time, or half as much evidence again.
	minEffectChange    = 0.05
	minPrecisionGrowth = 1.5
)

// restoreSpeed takes over what an earlier planner, or this one of an earlier incarnation, has
// learned of the worker's speed.
func (e *Engine) restoreSpeed(now time.Duration, w *worker, record *SpeedRecord) {
	if record == nil || !e.params.Policy.WorkerSpeeds {
		return
	}
	evidence := workerspeed.Evidence{Effect: record.Effect, Precision: record.Precision}
	if record.Worker != w.info.ID {
		evidence.Precision = min(evidence.Precision, maxInheritedPrecision)
	}
	e.tracker.speeds.Restore(now, w.info.Service, string(w.info.ID), evidence)
}

// speedRecord returns what is known of the worker's speed if it has changed since it was last sent.
func (e *Engine) speedRecord(now time.Duration, w *worker) *SpeedRecord {
	if !e.params.Policy.WorkerSpeeds {
		return nil
	}
	evidence, known := e.tracker.speeds.Evidence(now, string(w.info.ID))
	if !known {
		return nil
	}
	sent := &w.sentSpeed
	if math.Abs(evidence.Effect-sent.Effect) < minEffectChange && evidence.Precision < minPrecisionGrowth*sent.Precision {
		return nil
	}
	*sent = SpeedRecord{Worker: w.info.ID, Effect: evidence.Effect, Precision: evidence.Precision}
	record := *sent
	return &record
}
