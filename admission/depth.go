package admission

// Depth returns how many requests run and wait. Unlike Load it counts out no
// marks, so it may be called at any time.
func (q *Queue) Depth() (running, queued int) {
	return q.running, q.queued
}
