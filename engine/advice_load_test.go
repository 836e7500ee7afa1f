package engine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// adviceLoad is a load of three queues, all of which need advice.
type adviceLoad struct {
	name    string
	workers int
	advice  workload.Advice
	// rates are the jobs per second of urgent tasks, gangs and batch work.
	rates [3]float64
	tasks [3]int // of a job
}

// quickAdvice is advice that takes 130 ms for three workers.
var quickAdvice = workload.Advice{DecisionTime: 100 * time.Millisecond, TimePerWorker: 10 * time.Millisecond, TicketLifetime: 3 * time.Second}

// adviceLoads are loads of the usual shape of queues on fleets of several sizes.
var adviceLoads = []adviceLoad{
	{"11 workers", 11, slowAdvice, [3]float64{0.3, 0.325, 0.196}, [3]int{3, 2, 9}},
	{"11 workers, quick advice", 11, quickAdvice, [3]float64{0.596, 0.57, 0.275}, [3]int{3, 2, 9}},
	{"58 workers, quick advice", 58, quickAdvice, [3]float64{0.946, 0.483, 0.342}, [3]int{5, 6, 39}},
	{"65 workers, quick advice", 65, quickAdvice, [3]float64{1.43, 0.654, 0.266}, [3]int{5, 7, 39}},
}

// randomJob returns the step of a random job of a queue.
func (l *adviceLoad) randomJob(rng *rand.Rand, queue int) workload.Step {
	accelerators := []int{1, 1, 2, 4, 8}[rng.IntN(5)]
	switch queue {
	case 0:
		s := taskStep(l.tasks[0], accelerators)
		s.Estimate = 2500 * time.Millisecond
		return s
	case 1:
		s := gangStep(l.tasks[1], accelerators)
		s.Estimate = 8 * time.Second
		return s
	}
	s := taskStep(l.tasks[2], 1)
	s.Estimate = 7 * time.Second
	return s
}

// Guards against starts without a valid ticket and jobs that never start, under a load of jobs that all
// need advice. It logs the time from submission to the first start by queue.
func TestAdviceUnderLoad(t *testing.T) {
	for _, load := range adviceLoads {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			var waits [3][]time.Duration
			for seed := range uint64(3) {
				load.play(t, seed+1, &waits)
			}
			for queue, w := range waits {
				slices.Sort(w)
				t.Logf("queue %d: %d jobs, p50 %v, p95 %v", queue, len(w), w[len(w)/2], w[len(w)*95/100])
			}
		})
	}
}

// play plays a minute of the load and adds the waits of its jobs by queue.
func (l *adviceLoad) play(t *testing.T, seed uint64, waits *[3][]time.Duration) {
	d := newAdviceDriver(t, l.workers, l.advice)
	rng := rand.New(rand.NewPCG(seed, 3))
	submitted := map[workload.JobID]time.Duration{}
	queues := map[workload.JobID]int{}
	for end := d.now + time.Minute; d.now < end; d.play(50 * time.Millisecond) {
		for queue, rate := range l.rates {
			if rng.Float64() < rate*0.05 {
				id := d.submitAdvised(queue, l.randomJob(rng, queue))
				submitted[id], queues[id] = d.now, queue
			}
		}
	}
	d.play(2 * time.Minute)
	for i := range d.jobs {
		id := workload.JobID(fmt.Sprintf("job%d", i+1))
		at, started := d.firstStart[id]
		if !started {
			t.Errorf("seed %d: job %s of queue %d never started", seed, id, queues[id])
			continue
		}
		waits[queues[id]] = append(waits[queues[id]], at-submitted[id])
	}
	qt.Check(t, d.refused, qt.Equals, 0)
}
