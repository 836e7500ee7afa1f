package runtimes

import (
	"math"
	"time"
)

const (
	// learnShare is the weight of the newest of many runs. Queues see tens of runs a minute.
	learnShare = 0.1
	// startCount is how many runs the declaration counts for before any was seen.
	startCount = 2.0
	// startSpread is how far, as a factor's logarithm, declarations are taken to be off then.
	startSpread = 0.5
	// leastSpread keeps a few runs that agree by chance from counting as certainty.
	leastSpread = 0.1
	// mostFactor bounds what one run may teach, so that an odd one can't spoil decisions.
	mostFactor = 20.0
)

// Model holds what was learned of each queue.
type Model struct {
	queues  map[string]*queue
	version int
}

// queue is the scatter of lengths by themselves, and of their ratio to what was declared.
type queue struct {
	length scatter
	ratio  scatter
}

// New returns a Model that knows nothing, and so expects what is declared.
func New() *Model { return &Model{queues: map[string]*queue{}} }

// Version changes whenever expectations do.
func (m *Model) Version() int { return m.version }

// Observe takes the length of a run whose work was done, and what had been declared, 0 where
// nothing was. Runs of no length teach nothing.
func (m *Model) Observe(name string, declared, took time.Duration) {
	if took <= 0 {
		return
	}
	q := m.queues[name]
	if q == nil {
		q = &queue{}
		m.queues[name] = q
	}
	q.length.add(math.Log(took.Seconds()))
	if declared > 0 {
		most := math.Log(mostFactor)
		q.ratio.add(min(max(math.Log(took.Seconds()/declared.Seconds()), -most), most))
	}
	m.version++
}

// Estimate returns how long a run of a queue is expected to take; 0 where nothing is declared
// and nothing was learned.
func (m *Model) Estimate(name string, declared time.Duration) time.Duration {
	q := m.queues[name]
	if q == nil {
		return declared
	}
	if declared <= 0 {
		return seconds(math.Exp(q.length.mean))
	}
	byDeclared := math.Log(declared.Seconds()) + q.correction()
	trust, trustLength := 1/q.declaredVariance(), q.length.weight()
	return seconds(math.Exp((trust*byDeclared + trustLength*q.length.mean) / (trust + trustLength)))
}

// correction is by how much declarations are usually off; while few runs were seen, less.
func (q *queue) correction() float64 {
	return q.ratio.mean * q.ratio.n / (q.ratio.n + startCount)
}

func (q *queue) declaredVariance() float64 {
	start := startSpread * startSpread
	return (q.ratio.variance*q.ratio.n + start*startCount) / (q.ratio.n + startCount)
}

// scatter is the mean and the variance of the latest values, the newest weighing most.
type scatter struct {
	n              float64
	mean, variance float64
}

func (s *scatter) add(x float64) {
	s.n++
	share := max(learnShare, 1/s.n)
	off := x - s.mean
	s.mean += share * off
	s.variance = (1 - share) * (s.variance + share*off*off)
}

// weight is how much the mean tells of the next value; nothing while it rests on one.
func (s *scatter) weight() float64 {
	if s.n < 2 {
		return 0
	}
	return (s.n - 1) / s.n / max(s.variance, leastSpread*leastSpread)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
