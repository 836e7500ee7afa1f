package scheduler

import (
	"container/heap"
	"time"
)

// delayHeap orders jobs that wait for a time before they are queued again.
type delayHeap []*job

func (h delayHeap) Len() int           { return len(h) }
func (h delayHeap) Less(a, b int) bool { return h[a].notBefore.Before(h[b].notBefore) }

func (h delayHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].delayed, h[b].delayed = a, b
}

// Push implements heap.Interface.
func (h *delayHeap) Push(x any) {
	j := x.(*job)
	j.delayed = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *delayHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	j.delayed = -1
	return j
}

func (s *Scheduler) delay(j *job, until time.Time) {
	j.notBefore = until
	heap.Push(&s.delayed, j)
}

func (s *Scheduler) undelay(j *job) {
	if j.delayed >= 0 {
		heap.Remove(&s.delayed, j.delayed)
	}
}

// wakeJobs queues the jobs whose delay is over.
func (s *Scheduler) wakeJobs() {
	for len(s.delayed) > 0 && !s.delayed[0].notBefore.After(s.now) {
		s.enqueue(heap.Pop(&s.delayed).(*job))
	}
}

// wakeAt asks for the next time at which something changes by itself.
func (s *Scheduler) wakeAt() {
	var at time.Time
	sooner := func(t time.Time) {
		if t.After(s.now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if len(s.delayed) > 0 {
		sooner(s.delayed[0].notBefore)
	}
	for _, n := range s.quarantined {
		sooner(n.health.until)
	}
	for _, c := range s.claims {
		if !c.guaranteed() {
			sooner(c.made.Add(replanAfter))
		}
	}
	sooner(s.settled)
	for _, a := range s.accountList {
		for _, q := range a.order {
			sooner(q.grace)
		}
	}
	if s.wantPlan {
		sooner(s.planAt)
	}
	if !at.IsZero() && !at.Equal(s.woken) {
		s.woken = at
		s.emit(WakeAt{at})
	}
}
