package engine

import "github.com/eelgrasshub/eelgrasshub/catalog"

// CordonsChanged: nothing new may start in other availability zones than before. What runs
// there goes on, and the room there still counts for what is promised: it comes back.
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
