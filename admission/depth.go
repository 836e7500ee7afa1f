package admission

// Depth returns the numbers of running and queued requests.
func (q *Queue) Depth() (running, queued int) {
	return q.running, q.queued
}
