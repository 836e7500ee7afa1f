package scheduler

// endSettling makes every queue be tried again once workers have had time to
// register. Jobs that can never run are not rejected before that, and on a
// quiet domain no growth of capacity would cause another try, so they would
// wait forever.
func (s *Scheduler) endSettling() {
	if s.settlingDone || s.now.Before(s.settlingEnds) {
		return
	}
	s.settlingDone = true
	s.capacityGen++
	s.cpuCapacityGen++
}
