package gateway

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// lookup returns the state of a job as this term knows it.
func (t *term) lookup(id workload.JobID) (engine.Lookup, bool) {
	if !t.loaded.Load() {
		return engine.Lookup{}, false
	}
	type answer struct {
		found engine.Lookup
		ok    bool
	}
	answers := make(chan answer, 1)
	if !t.do(func(time.Duration) {
		found, ok := t.engine.Lookup(id)
		answers <- answer{found, ok}
	}) {
		return engine.Lookup{}, false
	}
	select {
	case a := <-answers:
		return a.found, a.ok
	case <-t.tomb.Dying():
		return engine.Lookup{}, false
	}
}

func (t *term) pending() map[string]int {
	if counts := t.counts.Load(); counts != nil {
		return *counts
	}
	return nil
}
