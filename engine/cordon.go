package engine

import "slices"

// CordonsChanged: nothing new may start in these availability zones, and in no others, as of
// a revision of the store.
type CordonsChanged struct {
	Zones    []string
	Revision int64
}

func (CordonsChanged) isEvent() {}

// cordons are the availability zones where nothing new may start. What runs there goes on,
// and the room there still counts for what is promised: it comes back.
type cordons struct {
	zones []string
	at    int64 // the store's revision, which orders carry
}

func (e *Engine) cordon(ev CordonsChanged) {
	e.cordons = cordons{zones: ev.Zones, at: ev.Revision}
	for _, w := range e.workers {
		e.markCordoned(w)
	}
	e.replan = true
}

func (e *Engine) markCordoned(w *worker) {
	w.cordoned = slices.Contains(e.cordons.zones, w.info.Zone)
}
