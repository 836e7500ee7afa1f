package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

const (
	// simSilenceTime is for how long a worker is silent before its planner records that. As far as its
	// successor knows, a planner that is replaced before may have granted the lease until then.
	simSilenceTime = 1200 * time.Millisecond
	// simRecordInterval is the time after which the record of a silent worker is written again.
	simRecordInterval = time.Second
	// simRecordTime is the time until a record that is due is stored: a tick, the pause between such writes,
	// the write in progress, and this one.
	simRecordTime = simTick + 250*time.Millisecond + 20*time.Millisecond
	simTick       = 50 * time.Millisecond
	// simPollAge is the time after the end of the last possible call by which a poll shows its effect.
	simPollAge = maxPollAge
)

// simWait bounds how long the planners may wait for the lease of a worker that none of them hears.
type simWait struct {
	from  time.Duration // last grant by a current planner, or the takeover that may follow one unnoticed
	extra time.Duration // for grants of deposed planners, if counted from a takeover
	// recorded means that a planner has been silent about the worker for long enough to store it.
	recorded  bool
	takeovers int // since it was recorded
	// shortestTerm is that of a planner that both found it recorded and ended, with the time until its successor.
	shortestTerm time.Duration
	// vacant and storeDown are the totals of simLeaseWaits at from.
	vacant, storeDown time.Duration
	epoch             uint64
}

// simLeaseWaits checks that tasks wait no longer for the lease of a silent worker than for one lease from the
// moment it was last heard, and for what takeovers make unavoidable.
type simLeaseWaits struct {
	workers           map[WorkerID]*simWait
	termBegan         time.Duration
	vacant, storeDown time.Duration // total time without a planner and without the store
	reported, through map[workload.RunID]bool
}

func newSimLeaseWaits() simLeaseWaits {
	return simLeaseWaits{workers: map[WorkerID]*simWait{}, reported: map[workload.RunID]bool{}, through: map[workload.RunID]bool{}}
}

// passTime adds a step of the simulation to the totals.
func (s *simLeaseWaits) passTime(vacant, storeDown bool) {
	switch {
	case vacant:
		s.vacant += simStep
	case storeDown:
		s.storeDown += simStep
	}
}

// noteGrant records a grant. Those of deposed planners are counted by the extra of their successors.
func (s *simSeries) noteGrant(w *simCluster, sw *simWorker, e *Engine, answer ReportAnswer) {
	switch {
	case s == nil || !answer.Attached:
	case e != w.engine:
		w.counts["grants of deposed planners"]++
	default:
		s.waits.workers[sw.info.ID] = &simWait{from: w.now, shortestTerm: faultTime, epoch: e.epoch, vacant: s.waits.vacant, storeDown: s.waits.storeDown}
	}
}

// noteTakeover records a takeover, with the time that it allows for grants of deposed planners.
func (s *simLeaseWaits) noteTakeover(now, extra time.Duration) {
	for _, wait := range s.workers {
		silent := now - (s.vacant - wait.vacant) - max(wait.from, s.termBegan)
		if wait.recorded = wait.recorded || silent > simSilenceTime+simRecordTime+s.storeDown-wait.storeDown; wait.recorded {
			if wait.takeovers++; wait.takeovers > 1 {
				wait.shortestTerm = min(wait.shortestTerm, now-s.termBegan)
			}
			continue
		}
		wait.from, wait.extra, wait.vacant, wait.storeDown = now, max(wait.extra, extra), s.vacant, s.storeDown
	}
	s.termBegan = now
}

// deadline returns the time by which the lease of a worker has ended by what its planners can know.
func (s *simLeaseWaits) deadline(e *Engine, wait *simWait) time.Duration {
	return e.params.leaseExpiry(wait.from) + wait.extra + time.Duration(wait.takeovers)*(simRecordInterval+simRecordTime) +
		s.vacant - wait.vacant + s.storeDown - wait.storeDown + simTick
}

// checkWaits checks that no task waits for the lease of a worker beyond its deadline.
func (s *simSeries) checkWaits(w *simCluster) {
	if s == nil || w.now%simTick != 0 {
		return
	}
	e := w.engine
	for _, known := range e.sortedWorkers() {
		wait := s.waits.workers[known.info.ID]
		if wait == nil {
			continue
		}
		deadline := s.waits.deadline(e, wait)
		for _, p := range known.sortedPlacements() {
			run := p.runID()
			if wait.takeovers >= 2 && !s.waits.through[run] {
				s.waits.through[run] = true
				w.counts["runs that waited through several takeovers"]++
			}
			if known.info.Name != "" && !p.startSettled() {
				// A call without an answer may be carried out late, and by the next incarnation.
				deadline := e.params.leaseExpiry(deadline+MaxCallDelay) + simPollAge
				if w.now <= deadline {
					continue
				}
			}
			if w.now > deadline && !s.waits.reported[run] {
				s.waits.reported[run] = true
				w.reportViolation("run %v waits for the lease of worker %s, which was to end by %v: counted from %v (epoch %d), recorded %v, %d takeovers since, shortest term %v",
					run, known.info.ID, deadline, wait.from, wait.epoch, wait.recorded, wait.takeovers, wait.shortestTerm)
			}
		}
	}
}
