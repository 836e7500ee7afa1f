package admission

import "time"

// congestionPhase is the state of congestion of one account's queue.
type congestionPhase int

const (
	noCongestion congestionPhase = iota
	earlyCongestion
	lastingCongestion
)

// congestionDetector watches how long requests of one account wait. It is in early
// congestion while waits exceed the target, and in lasting congestion once they
// have done so for an interval. Without a start for an interval it knows
// nothing, and says clear.
type congestionDetector struct {
	aboveTargetSince time.Time // first wait above the target; zero while below
	lastStart        time.Time // last start
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
