package nodeagent

// cordonState is the state of the cordon of the worker's availability zone as reported by
// planners. The agent's mutex guards it.
//
// It is used to refuse starts that were decided before the cordon was known: delayed orders,
// and orders of a planner that was paused or deposed.
type cordonState struct {
	active   bool
	revision int64 // store revision of this state
}

// update records the state at a store revision, unless a newer one is known. Revision 0 means
// that the planner knows no cordons.
func (c *cordonState) update(active bool, revision int64) {
	if revision > c.revision {
		c.active, c.revision = active, revision
	}
}

// refuses reports whether starts that were decided with the cordons at a revision are refused.
func (c *cordonState) refuses(revision int64) bool { return c.active && revision <= c.revision }

// startsRefused reports whether admitted starts that were decided with the cordons at a revision
// must not be retried.
func (a *Agent) startsRefused(revision int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cordon.refuses(revision)
}
