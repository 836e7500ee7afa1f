package admission_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/eelgrasshub/eelgrasshub/admission"
)

// completionHeap is a heap of running requests by the time of their completion.
type completionHeap []completion
type completion struct {
	at time.Duration
	id admission.ID
}

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulateFlood offers one target of 8 slots three times its capacity for ten seconds,
// 90% of it from one account, and returns the light account's waits in microseconds.
// fifo puts all requests in one account without bounds, as the baseline.
func simulateFlood(fifo bool) *hdrhistogram.Histogram {
	rng := rand.New(rand.NewPCG(1, 1))
	o := admission.Options{Slots: 8}
	if fifo {
		o = admission.Options{Slots: 8, CongestionControl: admission.NoControl, MaxQueuedPerAccount: 1 << 30, MaxQueued: 1 << 30}
	}
	q := admission.New(o)
	waits := hdrhistogram.New(1, 100_000_000, 3)
	lightArrivals := map[admission.ID]time.Duration{} // arrival times of the light account's requests
	var running completionHeap
	now, id := time.Duration(0), admission.ID(0)
	apply := func(actions []admission.Action) {
		for _, action := range actions {
			run, ok := action.(admission.Run)
			if !ok {
				continue
			}
			heap.Push(&running, completion{at: now + time.Duration(rng.ExpFloat64()*float64(10*time.Millisecond)), id: run.ID})
			if arrivedAt, light := lightArrivals[run.ID]; light {
				_ = waits.RecordValue((now - arrivedAt).Microseconds())
			}
		}
	}
	for next := time.Duration(0); next < 10*time.Second; {
		if len(running) > 0 && running[0].at <= next {
			done := heap.Pop(&running).(completion)
			now = done.at
			apply(q.Step(at(now), admission.Finished{ID: done.id, SlotTime: 10 * time.Millisecond}))
			continue
		}
		now = next
		next += time.Duration(rng.ExpFloat64() * float64(time.Second) / 2400)
		id++
		ev := admission.Arrived{ID: id, Account: "heavy"}
		if rng.IntN(10) == 0 {
			lightArrivals[id] = now
			if !fifo {
				ev.Account = "light"
			}
		}
		apply(q.Step(at(now), ev))
	}
	return waits
}

// Measures the wait of a light account while another account floods the target.
func BenchmarkFlood(b *testing.B) {
	for b.Loop() {
		baseline, candidate := simulateFlood(true), simulateFlood(false)
		b.ReportMetric(float64(baseline.ValueAtQuantile(99))/1000, "baseline-wait-p99-ms")
		b.ReportMetric(float64(candidate.ValueAtQuantile(99))/1000, "wait-p99-ms")
		b.ReportMetric(float64(baseline.ValueAtQuantile(99))/float64(candidate.ValueAtQuantile(99)), "ratio")
	}
}

// Measures one arrival and one completion, with a request of each account queued.
func BenchmarkStep(b *testing.B) {
	for _, accounts := range []int{1, 4, 100, 1000} {
		b.Run(fmt.Sprint("accounts=", accounts), func(b *testing.B) {
			q := admission.New(admission.Options{Slots: 1})
			id, oldest := admission.ID(0), admission.ID(1)
			var running admission.ID
			arrive := func() {
				id++
				q.Step(at(0), admission.Arrived{ID: id, Account: fmt.Sprint(int(id) % accounts), Deadline: at(time.Hour)})
			}
			for range accounts + 1 {
				arrive()
			}
			running = oldest
			b.ReportAllocs()
			for b.Loop() {
				for _, action := range q.Step(at(0), admission.Finished{ID: running, SlotTime: time.Millisecond}) {
					if run, ok := action.(admission.Run); ok {
						running = run.ID
					}
				}
				arrive()
			}
		})
	}
}
