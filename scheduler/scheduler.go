package scheduler

import "time"

// Options configures a Scheduler.
type Options struct {
	// Start is the time of the first decision.
	Start time.Time
	// SettlingPeriod is the time after Start during which no job is rejected
	// for being larger than the topology, since workers are still registering.
	SettlingPeriod time.Duration
}

// Scheduler is the state of one scheduling domain. A single goroutine owns it.
type Scheduler struct {
	now          time.Time
	settlingEnds time.Time
	// settlingDone is set by the first decision at or after settlingEnds.
	settlingDone bool
	policy       Policy
	actions      []Action

	nodes       []*node
	nodeByID    map[WorkerID]*node
	zoneByID    map[string]int32
	rackByID    map[rackKey]int32
	downNodes   []*node // down workers, oldest first, whose records may be reused
	cpuJobCores int     // total cores that jobs without accelerators may use

	// Indexes of workers by accelerators.
	installed    index // accelerators of every known worker, healthy or not
	open         index // open capacity, for evictable jobs
	unguaranteed index // open capacity to which no unused block is bound
	bindable     index // capacity to which blocks may be bound
	cpu          cpuIndex
	// Generations: each changes when the state that it covers does, so that
	// searches that failed are not repeated on the same state.
	capacityGen                                  uint64 // changes when the capacity of any worker grows
	cpuCapacityGen                               uint64 // the same for jobs without accelerators
	topologyGen                                  uint64 // changes when workers are added or the policy changes
	minCoresPerAccelerator, minMemPerAccelerator int    // smallest share of one accelerator on any worker

	accounts            map[AccountID]*account
	accountList         []*account
	jobs                map[JobID]*job
	seq                 uint64
	delayed             delayHeap
	claims              []*claim
	unbound             []*block // guaranteed blocks that no workers can hold now
	degraded            map[shapeKey]int
	fitsWithBlocks      map[demand]bool // whether a shape fits on idle workers together with all blocks
	fitsWithBlocksGen   uint64          // topologyGen+shrinkGen for which fitsWithBlocks holds
	shrinkGen           uint64          // changes when the topology shrinks or the policy changes
	borrowingGen        uint64          // shrinkGen when resumeBorrowing last ran
	repackGen           uint64          // capacityGen when the unbound blocks were last tried
	evictionsInProgress int
	quarantined         []*node
	headsBuf            []*queue  // reused by startOpen
	nextPlanAt          time.Time // earliest time of the next search for a reservation
	planPending         bool      // a job waits for nextPlanAt
	runTimes            runTimePredictor
	sweepNeeded         bool      // a queue became empty
	lastWakeAt          time.Time // time of the last WakeAt action
	starts              uint64
	steps               uint64
}

type rackKey struct{ zone, rack string }

// New returns a scheduler without workers, accounts or jobs. Jobs of an unknown
// account are rejected, so PolicyChanged must come first.
func New(o Options) *Scheduler {
	s := &Scheduler{
		now:            o.Start,
		settlingEnds:   o.Start.Add(o.SettlingPeriod),
		policy:         Policy{}.WithDefaults(),
		nodeByID:       map[WorkerID]*node{},
		zoneByID:       map[string]int32{},
		rackByID:       map[rackKey]int32{},
		accounts:       map[AccountID]*account{},
		jobs:           map[JobID]*job{},
		degraded:       map[shapeKey]int{},
		fitsWithBlocks: map[demand]bool{},
		runTimes:       newRunTimePredictor(),
	}
	for _, idx := range s.indexes() {
		idx.installed = &s.installed
	}
	return s
}

// Step applies an event and returns the actions that it causes, in order. Time
// never goes back: if now is earlier than in a previous call, the latest time
// is used. The caller owns the actions.
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

// decide first updates state that depends on time and on changed capacity, and
// then starts jobs: rebinding of blocks precedes claims on guarantees, and
// these precede jobs on open capacity.
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
