package engine

import "time"

// pulse is the progress of one run as looks showed it. Its speed is that of this run on
// this worker, so it also tells of slow workers, of data far away and of work that goes on
// from a checkpoint, which a declared run time does not.
type pulse struct {
	percent         int // as last seen
	first           int // percent from which the speed counts
	firstAt, lastAt time.Duration
	seen            bool
}

// leastProgress is how many percent a run must have moved for its speed to be told: rows
// hold whole percents, and looks are up to a second apart.
const leastProgress = 5

// note takes what a look showed.
func (p *pulse) note(now time.Duration, percent int) {
	if !p.seen || percent < p.percent {
		*p = pulse{first: percent, firstAt: now, seen: true}
	}
	p.percent, p.lastAt = percent, now
}

// remaining returns how long the run is expected to go on, and false while its speed is not
// known.
func (p *pulse) remaining(now time.Duration) (time.Duration, bool) {
	moved := p.percent - p.first
	if moved < leastProgress || p.lastAt <= p.firstAt {
		return 0, false
	}
	each := (p.lastAt - p.firstAt) / time.Duration(moved)
	return time.Duration(100-p.percent)*each - (now - p.lastAt), true
}
