package entry

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/planner"
)

// Planners of several services start and end at the same time. The registration must not keep an older
// list: the other entries would not find the planner of a service until the next change.
func TestRegistrationHasLatestLeaderships(t *testing.T) {
	c := qt.New(t)
	services := []string{"a", "b", "c"}
	for round := range 5000 {
		e := &Entry{registry: newRegistry(nil, nil, "r", entryRecord{}, nil)}
		es := newElections(e)
		for _, s := range services {
			es.byService[s] = &election{service: s}
		}
		var wg sync.WaitGroup
		for _, s := range services {
			wg.Go(func() {
				es.mu.Lock()
				es.byService[s].planner = &planner.Planner{}
				es.mu.Unlock()
				es.updateRegistration()
			})
		}
		wg.Wait()
		c.Assert(e.registry.own.Leaderships, qt.HasLen, len(services), qt.Commentf("round %d", round))
	}
}
