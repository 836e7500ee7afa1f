package scheduler

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxClasses bounds the number of classes with recorded run times. The
	// least recently used are dropped first.
	maxClasses = 4096
	// maxRunsPerClass is the number of most recent run times kept per class.
	maxRunsPerClass = 31
	// minRunsToPredict is the number of recorded run times needed for a
	// prediction.
	minRunsToPredict = 4
	// defaultRunTime is assumed if neither run times nor an estimate are known.
	defaultRunTime = time.Hour
)

type classKey struct {
	account AccountID
	class   string
}

// runTimeHistory keeps the most recent run times of one account and class.
type runTimeHistory struct {
	ring   []time.Duration
	next   int
	sorted []time.Duration
}

func (r *runTimeHistory) add(d time.Duration) {
	if len(r.ring) < maxRunsPerClass {
		r.ring = append(r.ring, d)
	} else {
		r.ring[r.next] = d
		r.next = (r.next + 1) % maxRunsPerClass
	}
	r.sorted = append(r.sorted[:0], r.ring...)
	slices.Sort(r.sorted)
}

// quantileAbove returns the q quantile of the run times longer than elapsed, or
// twice elapsed if there are none.
func (r *runTimeHistory) quantileAbove(elapsed time.Duration, q float64) time.Duration {
	i, _ := slices.BinarySearch(r.sorted, elapsed+1)
	rest := r.sorted[i:]
	if len(rest) == 0 {
		return 2 * elapsed
	}
	return rest[int(q*float64(len(rest)-1)+0.5)]
}

// runTimePredictor predicts run times by account and class, since declared
// estimates are often wrong.
type runTimePredictor struct {
	histories *simplelru.LRU[classKey, *runTimeHistory]
}

func newRunTimePredictor() runTimePredictor {
	table, err := simplelru.NewLRU[classKey, *runTimeHistory](maxClasses, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return runTimePredictor{table}
}

func (p runTimePredictor) add(j *Job, d time.Duration) {
	k := classKey{j.Account, j.Class}
	r, ok := p.histories.Get(k)
	if !ok {
		r = &runTimeHistory{}
		p.histories.Add(k, r)
	}
	r.add(d)
}

// predict returns the q quantile of the whole run time of a job that has run
// for elapsed. It reports false if only the declared estimate is known.
func (p runTimePredictor) predict(j *Job, elapsed time.Duration, q float64) (time.Duration, bool) {
	r, ok := p.histories.Get(classKey{j.Account, j.Class})
	if ok && len(r.ring) >= minRunsToPredict {
		return r.quantileAbove(elapsed, q), true
	}
	d := orDuration(j.Estimate, defaultRunTime)
	if d <= elapsed {
		d = 2 * elapsed
	}
	return d, false
}
