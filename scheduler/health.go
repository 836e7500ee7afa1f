package scheduler

import (
	"slices"
	"time"
)

// health is the record of failures of a worker.
type health struct {
	excluded bool          // quarantined or on probe: not in the indexes
	probing  bool          // waits for, or runs, a single probe
	strikes  []*job        // different jobs that failed here since the last success
	backoff  time.Duration // length of the last quarantine, 0 if healthy
	until    time.Time     // end of the quarantine, or when the worker went down
	good     time.Time     // last success
}

// atFault returns the node that a failure is charged to, or nil if unknown.
func (s *Scheduler) atFault(r *run, worker WorkerID) *node {
	if n := s.nodeByID[worker]; n != nil {
		return n
	}
	if len(r.pieces) == 1 {
		return s.nodes[r.pieces[0].node]
	}
	return nil
}

// blame records a failure with both the job and the worker, since which of them
// is at fault shows only over several failures.
func (s *Scheduler) blame(r *run, worker WorkerID) {
	n := s.atFault(r, worker)
	if n == nil {
		return
	}
	j := r.job
	if n.health.probing {
		j.failures--
		s.quarantine(n)
		return
	}
	if !slices.Contains(j.failed, n.id) && len(j.failed) < maxFailedWorkers {
		j.failed = append(j.failed, n.id)
	}
	s.strike(n, j)
}

func (s *Scheduler) strike(n *node, j *job) {
	if n.health.excluded {
		return
	}
	if !slices.Contains(n.health.strikes, j) {
		n.health.strikes = append(n.health.strikes, j)
	}
	if s.strikes(n, nil) >= s.policy.FailureThreshold {
		s.quarantine(n)
		return
	}
	if len(n.health.strikes) > 4*s.policy.FailureThreshold {
		n.health.strikes = n.health.strikes[1:]
	}
}

// strikes counts the jobs that speak against a worker. A job that also failed on
// another worker in good standing speaks against itself instead.
func (s *Scheduler) strikes(n *node, except *job) int {
	t := 0
	for _, j := range n.health.strikes {
		if j != except && !s.failedElsewhere(j, n) {
			t++
		}
	}
	return t
}

func (s *Scheduler) failedElsewhere(j *job, n *node) bool {
	for _, id := range j.failed {
		if id != n.id && !s.nodes[id].health.excluded {
			return true
		}
	}
	return false
}

// healthyStrikes counts the workers in good standing on which a job failed: not
// quarantined, and no other job speaks against them.
func (s *Scheduler) healthyStrikes(j *job) int {
	t := 0
	for _, id := range j.failed {
		n := s.nodes[id]
		if !n.health.excluded && s.strikes(n, j) == 0 {
			t++
		}
	}
	return t
}

// acquit takes the failures of a job that is itself at fault off the workers.
func (s *Scheduler) acquit(j *job) {
	for _, id := range j.failed {
		h := &s.nodes[id].health
		h.strikes = slices.DeleteFunc(h.strikes, func(x *job) bool { return x == j })
	}
}

// refused counts a refusal to start against the worker, but not the job.
func (s *Scheduler) refused(n *node, j *job) {
	if n.health.probing {
		s.quarantine(n)
		return
	}
	s.strike(n, j)
}

// succeeded clears the failures of every worker of a gang that is done, and
// learns its run time.
func (s *Scheduler) succeeded(r *run) {
	for _, p := range r.pieces {
		n := s.nodes[p.node]
		h := &n.health
		h.strikes = nil
		h.good = s.now
		if h.probing {
			s.restoreWorker(n)
		}
	}
	if r.job.evictions == 0 && r.state != runStarting {
		s.learned.add(&r.job.Job, s.now.Sub(r.started))
	}
}

// quarantine takes a worker that fails what it starts out of use: it looks idle
// and would attract everything.
func (s *Scheduler) quarantine(n *node) {
	h := &n.health
	h.backoff = min(max(s.policy.QuarantineFor, 2*h.backoff), s.policy.QuarantineMax)
	h.until = s.now.Add(h.backoff)
	h.probing = false
	if !h.excluded {
		h.excluded = true
		s.leave(n)
	}
	if !slices.Contains(s.quarantined, n) {
		s.quarantined = append(s.quarantined, n)
	}
	s.emit(QuarantineWorker{Worker: n.ID, Until: h.until})
}

func (s *Scheduler) restoreWorker(n *node) {
	n.health = health{good: s.now}
	s.quarantined = slices.DeleteFunc(s.quarantined, func(x *node) bool { return x == n })
	s.emit(WorkerHealthy{Worker: n.ID})
	s.refresh(n)
	s.refreshCPU(n)
}

// wakeWorkers lets every worker whose quarantine is over run a probe.
func (s *Scheduler) wakeWorkers() {
	for _, n := range s.quarantined {
		if !n.health.probing && !n.health.until.After(s.now) {
			n.health.probing = true
			s.grown++
			s.grownCPU++
		}
	}
}

// probeFor returns a worker on probe that is idle and may run the job. Only work
// that may run again, and is not urgent, is risked.
func (s *Scheduler) probeFor(j *job) *node {
	if j.Urgent || !j.Evictable() {
		return nil
	}
	k := j.key()
	for _, n := range s.quarantined {
		if !n.health.probing || !n.up || n.draining || len(n.runs) > 0 {
			continue
		}
		if j.Accelerators == 0 && n.cpuCores >= j.Cores && n.cpuMem >= j.MemoryMB {
			return n
		}
		u := s.units(&k, n)
		if j.Accelerators > 0 && u > 0 && j.Accelerators*u <= min(n.Accelerators, MaxWorkerAccelerators) {
			return n
		}
	}
	return nil
}

func (s *Scheduler) startProbe(j *job, n *node) {
	k := j.key()
	s.dropCPU(j)
	s.start(j, []piece{{node: n.id, n: j.Accelerators * s.units(&k, n)}}, nil, false)
}
