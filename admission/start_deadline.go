package admission

// startDeadlineHeap is a heap of queued requests with the earliest start deadline
// on top. It implements heap.Interface.
type startDeadlineHeap []*request

func (h startDeadlineHeap) Len() int           { return len(h) }
func (h startDeadlineHeap) Less(i, j int) bool { return h[i].startDeadline.Before(h[j].startDeadline) }

func (h startDeadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *startDeadlineHeap) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *startDeadlineHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
