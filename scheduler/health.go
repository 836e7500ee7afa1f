package scheduler

import (
	"slices"
	"time"
)

// health is the failure record of a worker.
type health struct {
	excluded    bool          // quarantined or on probe, so not usable
	probing     bool          // waits for, or runs, a single probe job
	failedJobs  []*job        // different jobs that failed here since the last success
	backoff     time.Duration // length of the last quarantine, or 0 if healthy
	until       time.Time     // end of the quarantine, or when the worker went down
	lastSuccess time.Time     // when an attempt last succeeded here
}

// faultyNode returns the node that a failure is charged to, or nil if that is
// unknown.
func (s *Scheduler) faultyNode(r *run, worker WorkerID) *node {
	if n := s.nodeByID[worker]; n != nil {
		return n
	}
	if len(r.held) == 1 {
		return s.nodes[r.held[0].node]
	}
	return nil
}

// recordFailure records a failure with both the job and the worker, since a
// single failure does not show which of them is at fault. The failure of a
// probe counts against the worker only.
func (s *Scheduler) recordFailure(r *run, worker WorkerID) {
	n := s.faultyNode(r, worker)
	if n == nil {
		return
	}
	j := r.job
	if n.health.probing {
		j.failures--
		s.quarantine(n)
		return
	}
	if !slices.Contains(j.failedNodes, n.id) && len(j.failedNodes) < maxFailedNodes {
		j.failedNodes = append(j.failedNodes, n.id)
	}
	s.recordWorkerFailure(n, j)
}

// recordWorkerFailure adds a job to those that failed on a worker, and
// quarantines the worker at the failure threshold.
func (s *Scheduler) recordWorkerFailure(n *node, j *job) {
	if n.health.excluded {
		return
	}
	if !slices.Contains(n.health.failedJobs, j) {
		n.health.failedJobs = append(n.health.failedJobs, j)
	}
	if s.countWorkerFailures(n, nil) >= s.policy.FailureThreshold {
		s.quarantine(n)
		return
	}
	if len(n.health.failedJobs) > 4*s.policy.FailureThreshold {
		n.health.failedJobs = n.health.failedJobs[1:]
	}
}

// countWorkerFailures counts the jobs other than except whose failures count
// against a worker. Those of jobs that also failed on another worker in good
// standing don't.
func (s *Scheduler) countWorkerFailures(n *node, except *job) int {
	t := 0
	for _, j := range n.health.failedJobs {
		if j != except && !s.failedElsewhere(j, n) {
			t++
		}
	}
	return t
}

// failedElsewhere reports whether a job failed on another worker that is not
// excluded.
func (s *Scheduler) failedElsewhere(j *job, n *node) bool {
	for _, id := range j.failedNodes {
		if id != n.id && !s.nodes[id].health.excluded {
			return true
		}
	}
	return false
}

// countHealthyWorkerFailures counts the workers on which a job failed that are
// not quarantined and have no counted failures of other jobs.
func (s *Scheduler) countHealthyWorkerFailures(j *job) int {
	t := 0
	for _, id := range j.failedNodes {
		n := s.nodes[id]
		if !n.health.excluded && s.countWorkerFailures(n, j) == 0 {
			t++
		}
	}
	return t
}

// clearWorkerFailures removes the failures of a faulty job from the records of
// the workers.
func (s *Scheduler) clearWorkerFailures(j *job) {
	for _, id := range j.failedNodes {
		h := &s.nodes[id].health
		h.failedJobs = slices.DeleteFunc(h.failedJobs, func(x *job) bool { return x == j })
	}
}

// recordRefusal counts a refusal to start against the worker but not against
// the job.
func (s *Scheduler) recordRefusal(n *node, j *job) {
	if n.health.probing {
		s.quarantine(n)
		return
	}
	s.recordWorkerFailure(n, j)
}

// attemptSucceeded clears the failure records of the workers of a finished
// gang, ends their probes and records its run time.
func (s *Scheduler) attemptSucceeded(r *run) {
	for _, p := range r.held {
		n := s.nodes[p.node]
		h := &n.health
		h.failedJobs = nil
		h.lastSuccess = s.now
		if h.probing {
			s.restoreWorker(n)
		}
	}
	if r.job.evictions == 0 && r.state != runStarting {
		s.runTimes.add(&r.job.Job, s.now.Sub(r.started))
	}
}

// quarantine excludes a failing worker, with exponential backoff. A worker on
// which everything fails at once is always idle and would otherwise attract
// most jobs.
func (s *Scheduler) quarantine(n *node) {
	h := &n.health
	h.backoff = min(max(s.policy.QuarantineFor, 2*h.backoff), s.policy.QuarantineMax)
	h.until = s.now.Add(h.backoff)
	h.probing = false
	if !h.excluded {
		h.excluded = true
		s.dropPlansOn(n)
	}
	if !slices.Contains(s.quarantined, n) {
		s.quarantined = append(s.quarantined, n)
	}
	s.emit(QuarantineWorker{Worker: n.ID, Until: h.until})
}

func (s *Scheduler) restoreWorker(n *node) {
	n.health = health{lastSuccess: s.now}
	s.quarantined = slices.DeleteFunc(s.quarantined, func(x *node) bool { return x == n })
	s.emit(WorkerHealthy{Worker: n.ID})
	s.refreshIndexes(n)
	s.refreshCPU(n)
}

// endQuarantines lets every worker whose quarantine is over run a probe job.
func (s *Scheduler) endQuarantines() {
	for _, n := range s.quarantined {
		if !n.health.probing && !n.health.until.After(s.now) {
			n.health.probing = true
			s.capacityGen++
			s.cpuCapacityGen++
		}
	}
}

// probeFor returns an idle worker on probe that can hold the job, or nil. Only
// jobs that may run again and are not urgent serve as probes.
func (s *Scheduler) probeFor(j *job) *node {
	if j.Urgent || !j.Evictable() {
		return nil
	}
	k := j.key()
	for _, n := range s.quarantined {
		if !n.health.probing || !n.up || n.draining || len(n.runs) > 0 {
			continue
		}
		if j.Accelerators == 0 && n.freeCPUCores >= j.Cores && n.freeCPUMem >= j.MemoryMB {
			return n
		}
		u := s.footprint(&k, n)
		if j.Accelerators > 0 && u > 0 && j.Accelerators*u <= min(n.Accelerators, MaxWorkerAccelerators) {
			return n
		}
	}
	return nil
}

func (s *Scheduler) startProbe(j *job, n *node) {
	k := j.key()
	s.dropCPUReservation(j)
	s.start(j, []allocation{{node: n.id, count: j.Accelerators * s.footprint(&k, n)}}, nil, false)
}
