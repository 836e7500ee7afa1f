package nodeagent

// cordonState is what planners told of the worker's availability zone. The agent's mutex guards
// it.
//
// It keeps out orders that were decided before the cordonState was known to whoever sent them: on
// their way for long, of a planner that was paused, or of one that is not the newest.
type cordonState struct {
	active   bool
	revision int64 // the store's revision as of which it is so
}

// update takes what a planner knows as of a revision, 0 where it knows nothing.
func (c *cordonState) update(active bool, revision int64) {
	if revision > c.revision {
		c.active, c.revision = active, revision
	}
}

// refuses says whether starts that were decided on the cordons as of a revision are refused.
func (c *cordonState) refuses(revision int64) bool { return c.active && revision <= c.revision }

// startsRefused says so of starts that have been admitted already.
func (a *Agent) startsRefused(revision int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cordon.refuses(revision)
}
