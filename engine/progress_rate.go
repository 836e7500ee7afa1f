package engine

import "time"

// progressRate is the progress of one run as looks showed it. Its speed is that of this run on
// this worker, so it also tells of slow workers, of data far away and of work that goes on
// from a checkpoint, which a declared run time does not.
type progressRate struct {
	lastPercent     int // as last seen
	firstPercent    int // percent from which the speed counts
	firstAt, lastAt time.Duration
	observed        bool
}

// minRateProgress is how many percent a run must have moved for its speed to be told: rows
// hold whole percents, and looks are up to a second apart.
const minRateProgress = 5

// observe takes what a look showed.
func (p *progressRate) observe(now time.Duration, percent int) {
	if !p.observed || percent < p.lastPercent {
		*p = progressRate{firstPercent: percent, firstAt: now, observed: true}
	}
	p.lastPercent, p.lastAt = percent, now
}

// remaining returns how long the run is expected to go on, and false while its speed is not
// known.
func (p *progressRate) remaining(now time.Duration) (time.Duration, bool) {
	gained := p.lastPercent - p.firstPercent
	if gained < minRateProgress || p.lastAt <= p.firstAt {
		return 0, false
	}
	perPercent := (p.lastAt - p.firstAt) / time.Duration(gained)
	return time.Duration(100-p.lastPercent)*perPercent - (now - p.lastAt), true
}
