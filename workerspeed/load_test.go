package workerspeed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// load generates the run times of a service's jobs and observes them.
type load struct {
	rng     *rand.Rand
	model   *Model
	now     time.Duration
	workers []string
	speed   []float64 // run time relative to the usual one, by worker
	// noise is the standard deviation of the logarithm of a task's run time, tail the share of the
	// tasks that take seven times as long.
	noise, tail float64
	// declaredError is the largest error of a declaration relative to the run time, declaredFactor
	// an error that all declarations share, and undeclared is set if there are no declarations.
	declaredError  float64
	declaredFactor float64
	undeclared     bool

	// slots is the number of gangs that run on a worker at a time.
	slots int

	jobs int
	runs []int // by worker
}

func newLoad(seed uint64, workers int) *load {
	l := &load{
		rng: rand.New(rand.NewPCG(seed, 1)), model: New(),
		noise: 0.15, tail: 0.03, declaredError: 0.2, declaredFactor: 1, slots: 1,
	}
	for i := range workers {
		l.workers = append(l.workers, fmt.Sprintf("w%d", i))
		l.speed = append(l.speed, 1)
		l.runs = append(l.runs, 0)
	}
	return l
}

// twoSpeeds makes one worker in three slow and the others fast.
func (l *load) twoSpeeds() *load {
	for i := range l.speed {
		l.speed[i] = 0.7
		if i%3 == 2 {
			l.speed[i] = 1.7
		}
	}
	return l
}

// length draws the run time of a task on a worker of speed 1, relative to its step's.
func (l *load) length() float64 {
	length := math.Exp(l.noise * l.rng.NormFloat64())
	if l.rng.Float64() < l.tail {
		length *= 7
	}
	return length
}

func (l *load) declare(base float64) time.Duration {
	if l.undeclared {
		return 0
	}
	return seconds(base * l.declaredFactor * (1 + l.declaredError*(2*l.rng.Float64()-1)))
}

func (l *load) newGroup() GroupID {
	l.jobs++
	return GroupID{Job: fmt.Sprintf("job%d", l.jobs)}
}

// gang runs a step that is one gang, on workers chosen at random.
func (l *load) gang(size int, usual float64) { l.gangOn(l.rng.Perm(len(l.workers))[:size], usual) }

// constantGang runs a gang on one of the sets of workers that always work together.
func (l *load) constantGang(size int, usual float64) {
	first := size * l.rng.IntN(len(l.workers)/size)
	var members []int
	for i := range size {
		members = append(members, first+i)
	}
	if first+2*size > len(l.workers) {
		members = nil
		for i := first; i < len(l.workers); i++ {
			members = append(members, i)
		}
	}
	l.gangOn(members, usual)
}

// separate runs gangs on the first half of the workers and single tasks on the others.
func (l *load) separate() {
	half := len(l.workers) / 2
	l.gangOn(l.rng.Perm(half)[:5], 7.2)
	var others []int
	for _, i := range l.rng.Perm(len(l.workers) - half)[:5] {
		others = append(others, half+i)
	}
	l.tasksOn(others, 7.2)
}

func (l *load) gangOn(members []int, usual float64) {
	size := len(members)
	base := usual * math.Exp(0.3*(2*l.rng.Float64()-1))
	slowest, names := 0.0, []string{}
	for _, i := range members {
		slowest = max(slowest, l.length()*l.speed[i])
		names = append(names, l.workers[i])
		l.runs[i]++
	}
	took := seconds(base * slowest)
	l.now += time.Duration(float64(took) * float64(size) / float64(len(l.workers)*l.slots))
	group := l.newGroup()
	l.model.Observe(l.now, Observation{
		Pool: "s", Group: group, Queue: fmt.Sprintf("gangs of %d", size), Declared: l.declare(base), Took: took, Workers: names,
	})
	l.model.EndGroup(group)
}

// tasks runs a step of single tasks on workers chosen at random, each used as evenly as possible.
// The shortest runs are observed first.
func (l *load) tasks(count int, usual float64) {
	l.tasksOn(l.spread(count), usual)
}

func (l *load) spread(count int) []int {
	var chosen []int
	for len(chosen) < count {
		chosen = append(chosen, l.rng.Perm(len(l.workers))[:min(len(l.workers), count-len(chosen))]...)
	}
	return chosen
}

func (l *load) tasksOn(chosen []int, usual float64) {
	type run struct {
		worker int
		took   time.Duration
	}
	base := usual * math.Exp(0.3*(2*l.rng.Float64()-1))
	var runs []run
	for _, i := range chosen {
		runs = append(runs, run{i, seconds(base * l.length() * l.speed[i])})
	}
	slices.SortStableFunc(runs, func(a, b run) int { return int(a.took - b.took) })
	group, declared := l.newGroup(), l.declare(base)
	for _, r := range runs {
		l.now += r.took / time.Duration(len(l.workers))
		l.runs[r.worker]++
		l.model.Observe(l.now, Observation{
			Pool: "s", Group: group, Queue: "tasks", Declared: declared, Took: r.took, Workers: []string{l.workers[r.worker]},
		})
	}
	l.model.EndGroup(group)
}

// mixed runs a job of one of three queues: urgent gangs, gangs and steps of single tasks.
func (l *load) mixed() {
	switch l.rng.IntN(3) {
	case 0:
		l.gang(5, 2.1)
	case 1:
		l.gang(7, 7.2)
	default:
		l.tasks(39, 8.1)
	}
}

func (l *load) factor(i int) float64 { return l.model.Estimate(l.now, l.workers[i]).Factor }

// accuracy returns the share of workers that are estimated on their side of the average.
func (l *load) accuracy() float64 {
	right := 0
	for i, s := range l.speed {
		if f := l.factor(i); (s > 1) == (f > 1) && f != 1 {
			right++
		}
	}
	return float64(right) / float64(len(l.speed))
}

// order returns the share of pairs of a slow and a fast worker whose factors are in the right
// order.
func (l *load) order() float64 {
	right, pairs := 0, 0
	for i := range l.speed {
		for j := range l.speed {
			if l.speed[i] > l.speed[j] {
				pairs++
				if l.factor(i) > l.factor(j) {
					right++
				}
			}
		}
	}
	return float64(right) / float64(pairs)
}

// fewestRuns returns the smallest number of runs of any worker.
func (l *load) fewestRuns() int { return slices.Min(l.runs) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
