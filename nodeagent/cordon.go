package nodeagent

// cordon is what planners told of the worker's availability zone. The agent's mutex guards
// it.
//
// It keeps out orders that were decided before the cordon was known to whoever sent them: on
// their way for long, of a planner that was paused, or of one that is not the newest.
type cordon struct {
	active bool
	at     int64 // the store's revision as of which it is so
}

// learn takes what a planner knows as of a revision, 0 where it knows nothing.
func (c *cordon) learn(active bool, at int64) {
	if at > c.at {
		c.active, c.at = active, at
	}
}

// bars says whether starts that were decided on the cordons as of a revision are refused.
func (c *cordon) bars(at int64) bool { return c.active && at <= c.at }

// barred says so of starts that have been admitted already.
func (a *Agent) barred(at int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cordon.bars(at)
}
