package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Engine holds the jobs, workers and decisions of one planner.
type Engine struct {
	params    Params
	epoch     uint64
	catalog   *catalog.Catalog
	startedAt time.Duration
	// inheritedLeaseExtra is how much longer than Params.MaxLease the leases granted by a
	// previous planner may last.
	inheritedLeaseExtra time.Duration
	// workersRestoredAt is when the last worker of a previous planner was restored; agents get no answers
	// before.
	workersRestoredAt time.Duration

	jobs map[workload.JobID]*job
	// orderedJobs lists jobs in the order in which they became known. Decisions iterate over
	// it and never over a map, so that they are deterministic.
	orderedJobs []*job
	workers     map[WorkerID]*worker
	// workersByID is the cache of sortedWorkers; nil after a worker was added or removed.
	workersByID   []*worker
	workerByAgent map[string]WorkerID
	// superseded holds, by agent, incarnations that were followed by another one of the same
	// name. lastGeneration is the highest Fence.Generation assigned.
	superseded     map[string][]*worker
	lastGeneration uint64
	// reportOrders holds the order of reports by agent. handling is the report in progress.
	reportOrders map[string]*reportOrder
	handling     ReportRef
	tracker      durationTracker
	// interference holds what is known about images that share workers.
	interference interferenceModel
	lateOrder    lateOrder
	// rankBuffer is reused to avoid allocations.
	rankBuffer    []rankedUnit
	cordons       catalog.Cordons
	urgentHistory urgentHistory
	// adviceCall is the request to the advice service that is in flight, nil if there is none.
	// adviceFailures counts the requests that failed since the last answer, and adviceRetryAt is the
	// earliest time of the next one after these. adviceTurn counts the requests that were chosen among
	// steps some of which had one before.
	adviceCall     *adviceCall
	adviceFailures int
	adviceRetryAt  time.Duration
	adviceTurn     int
	// headroomRacks are kept free of deferrable work.
	headroomRacks map[string]bool
	lastPlanAt    time.Duration
	// lastTickAt is the time of the last Tick. It dates the speeds of workers that are removed.
	lastTickAt time.Duration
	// checkpointsWrittenAt is when checkpoints of running tasks were last stored.
	checkpointsWrittenAt time.Duration
	// settledStartsWrittenAt is when settled starts were last stored.
	settledStartsWrittenAt time.Duration
	// workerAddedAt is when a worker was last added or a worker's capacity last changed. A job
	// that no worker could run may be schedulable since then.
	workerAddedAt time.Duration
	wallTime      time.Time

	dirtyJobs         map[workload.JobID]bool
	unrecordedWorkers map[WorkerID]*worker
	// changedSpeeds holds recorded workers whose speed is to be recorded. earlierSpeeds holds, by
	// agent, the speeds of workers that are gone.
	changedSpeeds map[WorkerID]*worker
	earlierSpeeds map[string]earlierSpeed
	goneWorkers   map[WorkerID]bool
	// dueLeaseRecords holds silent workers whose lease is to be recorded. leasesRecordedAt is when such
	// records were last written.
	dueLeaseRecords  map[WorkerID]*worker
	leasesRecordedAt time.Duration
	// storeUnavailable is Tick.StoreUnavailable of the last tick.
	storeUnavailable bool
	// archiving holds jobs whose records are being replaced by their outcomes, expired those
	// whose outcomes are being removed.
	archiving map[workload.JobID]bool
	expired   map[workload.JobID]bool
	// earlyCancels holds the revisions of cancellations of jobs that are not known yet.
	earlyCancels map[workload.JobID]int64

	orders     []*Orders
	actions    []Action
	planNeeded bool
	// planNotBefore is the earliest time of the next planning round.
	planNotBefore time.Duration
}

// New returns an Engine for one term of a planner. inheritedLeaseExtra is how much longer than
// usual the leases granted by previous planners may last.
func New(params Params, epoch uint64, now, inheritedLeaseExtra time.Duration) *Engine {
	if params.Policy == (Policy{}) {
		params.Policy = DefaultPolicy()
	}
	return &Engine{
		inheritedLeaseExtra: inheritedLeaseExtra,
		params:              params,
		epoch:               epoch,
		startedAt:           now,
		workersRestoredAt:   now,
		workerAddedAt:       now,
		jobs:                map[workload.JobID]*job{},
		workers:             map[WorkerID]*worker{},
		workerByAgent:       map[string]WorkerID{},
		superseded:          map[string][]*worker{},
		reportOrders:        map[string]*reportOrder{},
		tracker:             newDurationTracker(params.StopTime / 2),
		interference:        newInterferenceModel(),
		lateOrder:           newLateOrder(),
		dirtyJobs:           map[workload.JobID]bool{},
		unrecordedWorkers:   map[WorkerID]*worker{},
		changedSpeeds:       map[WorkerID]*worker{},
		earlierSpeeds:       map[string]earlierSpeed{},
		goneWorkers:         map[WorkerID]bool{},
		dueLeaseRecords:     map[WorkerID]*worker{},
		archiving:           map[workload.JobID]bool{},
		expired:             map[workload.JobID]bool{},
		earlyCancels:        map[workload.JobID]int64{},
	}
}

// Step processes one event. Reports of agents are passed to Report instead, which answers
// them.
func (e *Engine) Step(now time.Duration, event Event) {
	switch ev := event.(type) {
	case JobSubmitted:
		e.submit(now, ev)
	case CancelRequested:
		e.cancel(now, ev)
	case JobRestored:
		e.restoreJob(now, ev)
	case WorkerRestored:
		e.restoreWorker(now, ev.Info)
	case EndedJobRestored:
		e.restoreEndedJob(now, ev)
	case OrdersCompleted:
		e.handleOrderResults(now, ev)
	case WriteApplied:
		e.handleWriteApplied(now, ev.Write)
	case CatalogChanged:
		e.catalog = ev.Catalog
		e.planNeeded = true
	case CordonsChanged:
		e.setCordons(ev)
	case Tick:
		e.tick(now, ev)
	case EarlierGrantsBounded:
		e.boundEarlierGrants(ev.Until)
	case AdviceResponse:
		e.handleAdvice(now, ev)
	default:
		panic("engine: unknown event")
	}
}

// DelayPlanning prevents planning rounds before a time. Actions that are already decided are
// still returned by the next Decide.
func (e *Engine) DelayPlanning(until time.Duration) { e.planNotBefore = until }

// NextPlanning reports whether a planning round is due and the earliest time at which Decide
// makes it.
func (e *Engine) NextPlanning() (until time.Duration, due bool) { return e.planNotBefore, e.planNeeded }

// Decide places waiting units and returns all actions since the last call.
func (e *Engine) Decide(now time.Duration) []Action {
	if e.planNeeded && now >= e.planNotBefore {
		e.planNeeded = false
		e.plan(now)
	}
	for _, o := range e.orders {
		e.actions = append(e.actions, *o)
	}
	e.orders = nil
	actions := e.actions
	e.actions = nil
	return actions
}

// ordersFor returns the pending orders for a worker, creating them if necessary.
func (e *Engine) ordersFor(w *worker) *Orders {
	for _, o := range e.orders {
		if o.Worker == w.info.ID {
			return o
		}
	}
	o := &Orders{Worker: w.info.ID, Agent: w.info.Agent, CordonsRevision: e.cordons.Revision, Grant: w.grant}
	e.orders = append(e.orders, o)
	return o
}

// logDecision adds a log entry about a placement.
func (e *Engine) logDecision(p *placement, kind, detail string) {
	e.actions = append(e.actions, p.decision(kind, detail))
}

func (p *placement) decision(kind, detail string) Decision {
	return Decision{
		Job:    p.unit.job.spec.ID,
		Kind:   kind,
		Detail: detail,
		Run:    p.runID(),
		Worker: p.worker.info.ID,
	}
}

// logJobDecision adds a log entry about a job.
func (e *Engine) logJobDecision(j *job, kind, detail string) {
	e.actions = append(e.actions, Decision{Job: j.spec.ID, Kind: kind, Detail: detail})
}

// markChanged marks a job's record to be stored.
func (e *Engine) markChanged(j *job) {
	j.bumpVersion()
	e.dirtyJobs[j.spec.ID] = true
}
