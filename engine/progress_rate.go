package engine

import "time"

// progressRate measures the speed of one run from polled progress. Unlike a declared run time
// it reflects slow workers, remote data and resumption from a checkpoint.
type progressRate struct {
	lastPercent     int
	firstPercent    int // where the measurement began
	firstAt, lastAt time.Duration
	observed        bool
}

// minRateProgress is the progress in percent from which the rate is used. Reported percentages
// are whole numbers, and polls are up to a second apart.
const minRateProgress = 5

// observe records a reported percentage. The measurement restarts when progress goes back.
func (p *progressRate) observe(now time.Duration, percent int) {
	if !p.observed || percent < p.lastPercent {
		*p = progressRate{firstPercent: percent, firstAt: now, observed: true}
	}
	p.lastPercent, p.lastAt = percent, now
}

// remaining returns the expected remaining run time, or false while the rate is not known.
func (p *progressRate) remaining(now time.Duration) (time.Duration, bool) {
	gained := p.lastPercent - p.firstPercent
	if gained < minRateProgress || p.lastAt <= p.firstAt {
		return 0, false
	}
	perPercent := (p.lastAt - p.firstAt) / time.Duration(gained)
	return time.Duration(100-p.lastPercent)*perPercent - (now - p.lastAt), true
}
