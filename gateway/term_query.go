package gateway

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// queryEngine runs f on the engine's goroutine and returns its result. It returns false if the
// term ends first.
func queryEngine[T any](t *term, f func(now time.Duration) T) (T, bool) {
	results := make(chan T, 1)
	var none T
	if !t.enqueue(func(now time.Duration) { results <- f(now) }) {
		return none, false
	}
	select {
	case a := <-results:
		return a, true
	case <-t.tomb.Dying():
		return none, false
	}
}

// lookup returns the state of a job as known to this term.
func (t *term) lookup(id workload.JobID) (engine.JobStatus, bool) {
	if !t.loaded.Load() {
		return engine.JobStatus{}, false
	}
	type answer struct {
		found engine.JobStatus
		ok    bool
	}
	a, asked := queryEngine(t, func(time.Duration) answer {
		found, ok := t.engine.Lookup(id)
		return answer{found, ok}
	})
	return a.found, asked && a.ok
}

// pending returns the number of jobs of each queue that have not started. It returns false if
// the term has ended.
func (t *term) pending() (map[string]int, bool) {
	return queryEngine(t, func(time.Duration) map[string]int { return t.engine.UnstartedByQueue() })
}
