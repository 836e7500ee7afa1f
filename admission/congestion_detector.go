package admission

import "time"

// congestionPhase is the congestion state of one account's queue.
type congestionPhase int

const (
	noCongestion congestionPhase = iota
	earlyCongestion
	lastingCongestion
)

// congestionDetector tracks the waiting times of one account's requests. The queue
// is in early congestion while they reach the target, and in lasting congestion
// once they have done so for an interval. If no request has started for an
// interval, it is not considered congested.
type congestionDetector struct {
	aboveTargetSince time.Time // first start in an unbroken series of waits at or above the target; zero if the last was below
	lastStart        time.Time
}

func (d *congestionDetector) recordStart(now time.Time, wait, target time.Duration) {
	d.lastStart = now
	if wait < target {
		d.aboveTargetSince = time.Time{}
		return
	}
	if d.aboveTargetSince.IsZero() {
		d.aboveTargetSince = now
	}
}

func (d *congestionDetector) phase(now time.Time, interval time.Duration) congestionPhase {
	switch {
	case d.aboveTargetSince.IsZero() || now.Sub(d.lastStart) > interval:
		return noCongestion
	case now.Sub(d.aboveTargetSince) < interval:
		return earlyCongestion
	}
	return lastingCongestion
}
