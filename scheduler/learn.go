package scheduler

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// learnedClasses bounds the table of run times; the least used go first.
	learnedClasses = 4096
	// learnedRuns is how many of the last run times of a class are kept.
	learnedRuns = 31
	// learnedEnough is how many run times are needed before they are used.
	learnedEnough = 4
	// unknownRun stands for a run time when nothing at all is known.
	unknownRun = time.Hour
)

type classKey struct {
	account AccountID
	class   string
}

// runTimes keeps the last run times of one account and class, sorted on demand.
type runTimes struct {
	ring   []time.Duration
	next   int
	sorted []time.Duration
}

func (r *runTimes) add(d time.Duration) {
	if len(r.ring) < learnedRuns {
		r.ring = append(r.ring, d)
	} else {
		r.ring[r.next] = d
		r.next = (r.next + 1) % learnedRuns
	}
	r.sorted = append(r.sorted[:0], r.ring...)
	slices.Sort(r.sorted)
}

// over returns a quantile of the run times that are longer than elapsed. When
// none is, a run is taken to last as long again as it has so far.
func (r *runTimes) over(elapsed time.Duration, q float64) time.Duration {
	i, _ := slices.BinarySearch(r.sorted, elapsed+1)
	rest := r.sorted[i:]
	if len(rest) == 0 {
		return 2 * elapsed
	}
	return rest[int(q*float64(len(rest)-1)+0.5)]
}

// learner predicts run times by account and class, since declared ones are
// often wrong.
type learner struct {
	table *simplelru.LRU[classKey, *runTimes]
}

func newLearner() learner {
	table, err := simplelru.NewLRU[classKey, *runTimes](learnedClasses, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return learner{table}
}

func (l learner) add(j *Job, d time.Duration) {
	k := classKey{j.Account, j.Class}
	r, ok := l.table.Get(k)
	if !ok {
		r = &runTimes{}
		l.table.Add(k, r)
	}
	r.add(d)
}

// total predicts the whole run time of a job that has run for elapsed. It
// reports false when it has only the declared time to go by.
func (l learner) total(j *Job, elapsed time.Duration, q float64) (time.Duration, bool) {
	r, ok := l.table.Get(classKey{j.Account, j.Class})
	if ok && len(r.ring) >= learnedEnough {
		return r.over(elapsed, q), true
	}
	d := orTime(j.Estimate, unknownRun)
	if d <= elapsed {
		d = 2 * elapsed
	}
	return d, false
}
