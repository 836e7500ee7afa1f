package admission

// byHopeless is a heap of queued requests, the first to become hopeless on top.
type byHopeless []*request

func (h byHopeless) Len() int           { return len(h) }
func (h byHopeless) Less(i, j int) bool { return h[i].hopeless().Before(h[j].hopeless()) }

func (h byHopeless) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is for container/heap.
func (h *byHopeless) Push(x any) {
	r := x.(*request)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop is for container/heap.
func (h *byHopeless) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
