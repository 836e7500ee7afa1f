package scheduler

import (
	"container/heap"
	"time"
)

// delayHeap is a min-heap of the jobs that wait before they are queued again,
// by the end of their delay.
type delayHeap []*job

func (h delayHeap) Len() int           { return len(h) }
func (h delayHeap) Less(a, b int) bool { return h[a].notBefore.Before(h[b].notBefore) }

func (h delayHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].delayIndex, h[b].delayIndex = a, b
}

// Push implements heap.Interface.
func (h *delayHeap) Push(x any) {
	j := x.(*job)
	j.delayIndex = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *delayHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	j.delayIndex = -1
	return j
}

func (s *Scheduler) delay(j *job, until time.Time) {
	j.notBefore = until
	heap.Push(&s.delayed, j)
}

func (s *Scheduler) removeDelayed(j *job) {
	if j.delayIndex >= 0 {
		heap.Remove(&s.delayed, j.delayIndex)
	}
}

// enqueueDelayed queues the jobs whose delay is over.
func (s *Scheduler) enqueueDelayed() {
	for len(s.delayed) > 0 && !s.delayed[0].notBefore.After(s.now) {
		s.enqueue(heap.Pop(&s.delayed).(*job))
	}
}

// scheduleWake emits WakeAt for the next time at which the state changes
// without an event.
func (s *Scheduler) scheduleWake() {
	var at time.Time
	wakeBy := func(t time.Time) {
		if t.After(s.now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if len(s.delayed) > 0 {
		wakeBy(s.delayed[0].notBefore)
	}
	for _, n := range s.quarantined {
		wakeBy(n.health.until)
	}
	for _, c := range s.claims {
		if !c.guaranteed() {
			wakeBy(c.plannedAt.Add(replanInterval))
		}
	}
	wakeBy(s.settlingEnds)
	for _, a := range s.accountList {
		for _, q := range a.queueList {
			wakeBy(q.yieldUntil)
		}
	}
	if s.planPending {
		wakeBy(s.nextPlanAt)
	}
	if !at.IsZero() && !at.Equal(s.lastWakeAt) {
		s.lastWakeAt = at
		s.emit(WakeAt{at})
	}
}
