package admission

// byLatest is a heap of queued requests, the first to be late on top.
type byLatest []*request

func (h byLatest) Len() int           { return len(h) }
func (h byLatest) Less(i, j int) bool { return h[i].latest.Before(h[j].latest) }

func (h byLatest) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is for container/heap.
func (h *byLatest) Push(x any) {
	r := x.(*request)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop is for container/heap.
func (h *byLatest) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
