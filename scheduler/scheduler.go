package scheduler

import "time"

// Options configures a Scheduler.
type Options struct {
	// Start is the time of the first decision.
	Start time.Time
	// SettlingPeriod is how long after Start jobs are not yet rejected for being
	// larger than the topology, since workers are still announcing themselves.
	SettlingPeriod time.Duration
}

// Scheduler is the state of one scheduling domain. A single goroutine owns it.
type Scheduler struct {
	now          time.Time
	settlingEnds time.Time
	// settlingDone is set by the first decision at or after settled.
	settlingDone bool
	policy       Policy
	actions      []Action

	nodes       []*node
	nodeByID    map[WorkerID]*node
	zoneByID    map[string]int32
	rackByID    map[rackKey]int32
	downNodes   []*node // down workers, whose records may be used again
	cpuJobCores int     // cores that jobs without accelerators may use

	installed                                    index // accelerators of every known worker, healthy or not
	open                                         index // what an evictable job may take
	unguaranteed                                 index // what a job that may not be evicted may take
	bindable                                     index // what guaranteed blocks may be bound to
	cpu                                          cpuIndex
	capacityGen                                  uint64 // changes when any capacity grows
	cpuCapacityGen                               uint64 // the same for jobs without accelerators
	topologyGen                                  uint64 // changes when the topology grows
	minCoresPerAccelerator, minMemPerAccelerator int    // least share of an accelerator over all workers

	accounts            map[AccountID]*account
	accountList         []*account
	jobs                map[JobID]*job
	seq                 uint64
	delayed             delayHeap
	claims              []*claim
	unbound             []*block // guaranteed blocks without a place
	degraded            map[degradedKey]int
	fitsBeside          map[demand]bool // shapes that fit beside all blocks
	fitsBesideGen       uint64          // shape and shrunk when these were found
	shrinkGen           uint64          // changes when the topology shrinks or blocks need more
	borrowingGen        uint64          // shrunk when retreats were last looked at
	repackGen           uint64          // grown when the last repacking failed
	evictionsInProgress int             // evictions in progress
	quarantined         []*node
	headsBuf            []*queue  // scratch
	nextPlanAt          time.Time // no plan for a reservation before
	planPending         bool      // a job waits for such a plan
	runTimes            runTimePredictor
	sweepNeeded         bool
	lastWakeAt          time.Time // last WakeAt
	starts              uint64
	steps               uint64
}

type rackKey struct{ zone, rack string }

// New returns a scheduler without workers, accounts or jobs. Jobs of an unknown
// account are rejected, so PolicyChanged goes first.
func New(o Options) *Scheduler {
	s := &Scheduler{
		now:          o.Start,
		settlingEnds: o.Start.Add(o.SettlingPeriod),
		policy:       Policy{}.WithDefaults(),
		nodeByID:     map[WorkerID]*node{},
		zoneByID:     map[string]int32{},
		rackByID:     map[rackKey]int32{},
		accounts:     map[AccountID]*account{},
		jobs:         map[JobID]*job{},
		degraded:     map[degradedKey]int{},
		fitsBeside:   map[demand]bool{},
		runTimes:     newRunTimePredictor(),
	}
	for _, idx := range s.indexes() {
		idx.installed = &s.installed
	}
	return s
}

// Step applies an event and returns what is to be done, in order. Time never
// goes back: an earlier now counts as the last one. The actions belong to the
// caller.
func (s *Scheduler) Step(now time.Time, ev Event) []Action {
	if now.After(s.now) {
		s.now = now
	}
	s.actions = nil
	s.steps++
	s.apply(ev)
	s.decide()
	return s.actions
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) apply(ev Event) {
	switch e := ev.(type) {
	case Batch:
		for _, x := range e.Events {
			s.apply(x)
		}
	case WorkerUp:
		s.workerUp(e.Worker)
	case WorkerDown:
		s.workerDown(e.ID)
	case WorkerDraining:
		s.workerDraining(e.ID)
	case PolicyChanged:
		s.applyPolicy(e.Policy)
	case JobsSubmitted:
		for i := range e.Jobs {
			s.submit(e.Jobs[i])
		}
	case JobsCancelled:
		for _, id := range e.IDs {
			s.cancel(id)
		}
	case JobRestored:
		s.restore(e)
	case GangStarted:
		s.gangStarted(e)
	case GangRefused:
		s.gangRefused(e)
	case GangEnded:
		s.gangEnded(e)
	case CheckpointTaken:
		s.checkpointTaken(e)
	case Tick:
	}
}

// decide brings what is owed up to date and then starts what fits: repairs of
// guarantees go first, then claims on guarantees, then the open queue.
func (s *Scheduler) decide() {
	s.endSettling()
	s.endQuarantines()
	s.enqueueDelayed()
	s.rebindUnbound()
	s.resumeBorrowing()
	s.startClaims()
	s.claimGuarantees(beforeOpen)
	s.startOpen()
	s.claimGuarantees(afterOpen)
	s.reserve()
	s.sendEvictions()
	s.reportGuarantees()
	s.sweepQueues()
	s.scheduleWake()
}
