package engine

import "github.com/eelgrasshub/eelgrasshub/catalog"

// CordonsChanged replaces the set of cordoned availability zones. Nothing new may start in them,
// but tasks there continue, and capacity there still counts towards guarantees because cordons
// are temporary.
type CordonsChanged struct{ Cordons catalog.Cordons }

func (CordonsChanged) isEvent() {}

func (e *Engine) setCordons(ev CordonsChanged) {
	e.cordons = ev.Cordons
	for _, w := range e.workers {
		e.markCordoned(w)
	}
	e.planNeeded = true
}

func (e *Engine) markCordoned(w *worker) { w.cordoned = e.cordons.Contains(w.info.Zone) }
