package scheduler

// endSettling looks at every queue again once workers have had the time to announce
// themselves.
//
// The failure this guards against: jobs that can never run arrive before that,
// as all do after a takeover, find no place and are set aside until capacity
// grows. If nothing grows they are never looked at again, and their callers wait
// for ever instead of hearing that they are impossible.
func (s *Scheduler) endSettling() {
	if s.settlingDone || s.now.Before(s.settlingEnds) {
		return
	}
	s.settlingDone = true
	s.capacityGen++
	s.cpuCapacityGen++
}
