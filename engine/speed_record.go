package engine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workerspeed"
)

// SpeedRecord is what a planner has learned of a worker's speed. It is kept with the worker's record
// for the planner's successors. Its loss costs some seconds of learning.
type SpeedRecord struct {
	// Effect is the logarithm of the worker's run time relative to an average worker, Precision
	// the inverse of its variance.
	Effect    float64 `json:"effect"`
	Precision float64 `json:"precision"`
}

// WorkerSpeed reports that a worker's speed is known better, or has changed. Error is the standard
// deviation of the logarithm of Factor; see workerspeed.Estimate.
type WorkerSpeed struct {
	Worker        WorkerID
	Service       string
	Factor, Error float64
	Runs          int
	Turned        bool
}

func (WorkerSpeed) isAction() {}

const (
	// maxInheritedPrecision bounds the evidence that an incarnation inherits from the one before: a
	// standard deviation of 20%. A new incarnation usually runs on the same hardware but may run on
	// another, and its first runs must be able to show that.
	maxInheritedPrecision = 25
	// minRecordedPrecision is the precision from which a speed is recorded.
	minRecordedPrecision = 10
	// minEffectChange and minPrecisionGrowth are the changes from which a speed is recorded again.
	minEffectChange    = 0.15
	minPrecisionGrowth = 4
	// speedRecordInterval is the minimum time between two records of a worker's speed.
	speedRecordInterval = 5 * time.Second
	// earlierSpeedRetention is how long the speed of a worker that is gone is kept for the next
	// incarnation. An agent that was replaced for good does not return.
	earlierSpeedRetention = 10 * time.Minute
)

// earlierSpeed is what is known of a worker that is gone.
type earlierSpeed struct {
	SpeedRecord
	goneAt time.Duration
}

// inheritSpeed takes over what is known of a new worker's speed: from its record, or from the
// incarnation before it.
func (e *Engine) inheritSpeed(now time.Duration, w *worker) {
	record := w.info.Speed
	w.info.Speed = nil
	if !e.params.Policy.WorkerSpeeds {
		return
	}
	service, id := w.info.Service, string(w.info.ID)
	if record != nil {
		w.speed, w.speedRecordedAt = record, now
		e.tracker.speeds.Restore(now, service, id, workerspeed.Evidence(*record))
	} else if earlier, known := e.earlierSpeeds[w.info.Agent]; known {
		inherited := workerspeed.Evidence(earlier.SpeedRecord)
		inherited.Precision = min(inherited.Precision, maxInheritedPrecision)
		e.tracker.speeds.Inherit(now, service, id, inherited)
	}
	delete(e.earlierSpeeds, w.info.Agent)
}

// keepSpeed keeps what is known of a worker's speed for its next incarnation.
func (e *Engine) keepSpeed(w *worker) {
	if evidence, known := e.tracker.speeds.Evidence(e.lastTickAt, string(w.info.ID)); known && w.info.Agent != "" {
		e.earlierSpeeds[w.info.Agent] = earlierSpeed{SpeedRecord(evidence), e.lastTickAt}
	}
}

// forgetSpeed ends the observation of a worker. The speed of one that was superseded has been passed on
// already.
func (e *Engine) forgetSpeed(w *worker) {
	if w.supersession == nil {
		e.keepSpeed(w)
	}
	e.tracker.speeds.Forget(string(w.info.ID))
}

// forgetGoneAgents drops the speeds of workers whose agents have not returned in time.
func (e *Engine) forgetGoneAgents(now time.Duration) {
	maps.DeleteFunc(e.earlierSpeeds, func(_ string, s earlierSpeed) bool { return now-s.goneAt > earlierSpeedRetention })
}

// noteSpeed marks a worker's record to be written if its speed is known much better than is
// recorded, or is another one. A record that exists is updated also while the workers do not differ.
func (e *Engine) noteSpeed(now time.Duration, w *worker) {
	if !w.recorded || w.speed != nil && now-w.speedRecordedAt < speedRecordInterval || w.speed == nil && !e.tracker.speeds.Differ(w.info.Service) {
		return
	}
	evidence, known := e.tracker.speeds.Evidence(now, string(w.info.ID))
	if !known || evidence.Precision < minRecordedPrecision {
		return
	}
	if w.speed != nil && math.Abs(evidence.Effect-w.speed.Effect) < minEffectChange && evidence.Precision < minPrecisionGrowth*w.speed.Precision {
		return
	}
	record := SpeedRecord(evidence)
	w.speed, w.speedRecordedAt = &record, now
	e.changedSpeeds[w.info.ID] = w
	estimate := e.tracker.speeds.Estimate(now, string(w.info.ID))
	e.actions = append(e.actions, WorkerSpeed{
		Worker: w.info.ID, Service: w.info.Service,
		Factor: estimate.Factor, Error: estimate.Error, Runs: estimate.Runs, Turned: estimate.Turned,
	})
}

// addSpeeds adds the records of workers whose speed has changed to a write.
func (e *Engine) addSpeeds(w *Write, limit int) int {
	for _, id := range slices.SortedFunc(maps.Keys(e.changedSpeeds), cmp.Compare[WorkerID]) {
		if limit <= 0 {
			break
		}
		changed := e.changedSpeeds[id]
		delete(e.changedSpeeds, id)
		if e.workers[id] == changed && changed.recorded {
			w.Workers = append(w.Workers, changed.record())
			limit--
		}
	}
	return limit
}
