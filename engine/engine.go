package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Engine holds one planner's jobs, workers and decisions.
type Engine struct {
	params    Params
	epoch     uint64
	catalog   *catalog.Catalog
	startedAt time.Duration
	// inheritedLeaseExtra is how much longer than Params.MaxHold a predecessor's grants may last.
	inheritedLeaseExtra time.Duration

	jobs map[workload.JobID]*job
	// orderedJobs is the jobs in the order in which they became known; decisions iterate
	// over it and never over a map, so that they are the same for the same events.
	orderedJobs []*job
	workers     map[WorkerID]*worker
	// workersByID are the workers in the order of their names; nil after one came or went.
	workersByID   []*worker
	workerByAgent map[string]WorkerID
	// superseded are the lives that are followed by another one of their name, by agent, and
	// turns the highest turn given.
	superseded     map[string][]*worker
	lastGeneration uint64
	tracker        tracker
	// interference is what was learned of images that share workers.
	interference  interferenceModel
	cordons       catalog.Cordons
	urgentHistory urgentHistory
	// adviceInFlight: a question to the advice service is in progress; askAfter is when the next
	// may follow one that failed.
	adviceInFlight bool
	adviceRetryAt  time.Duration
	// headroomRacks are the racks that patient work leaves alone.
	headroomRacks map[string]bool
	lastPlanAt    time.Duration
	// checkpointsWrittenAt is when checkpoints of running work were last put on record.
	checkpointsWrittenAt time.Duration
	// workerAddedAt is when a worker last came, which may make a job possible.
	workerAddedAt time.Duration
	wallTime      time.Time

	dirtyJobs         map[workload.JobID]bool
	unrecordedWorkers map[WorkerID]*worker
	goneWorkers       map[WorkerID]bool
	// archiving are jobs whose records are being replaced by their outcomes, expired those
	// whose outcomes are being removed.
	archiving map[workload.JobID]bool
	expired   map[workload.JobID]bool
	// earlyCancels of jobs that are not known yet.
	earlyCancels map[workload.JobID]int64

	orders     []*Orders
	actions    []Action
	planNeeded bool
	// planNotBefore is the time before which no round is made.
	planNotBefore time.Duration
}

// New returns an Engine for one term of a planner. inherited is how much longer than
// usual the leases that predecessors granted may last.
func New(params Params, epoch uint64, now, inheritedLeaseExtra time.Duration) *Engine {
	if params.Policy == (Policy{}) {
		params.Policy = DefaultPolicy()
	}
	return &Engine{
		inheritedLeaseExtra: inheritedLeaseExtra,
		params:              params,
		epoch:               epoch,
		startedAt:           now,
		workerAddedAt:       now,
		jobs:                map[workload.JobID]*job{},
		workers:             map[WorkerID]*worker{},
		workerByAgent:       map[string]WorkerID{},
		superseded:          map[string][]*worker{},
		tracker:             newTracker(params.StopTime / 2),
		interference:        newInterferenceModel(),
		dirtyJobs:           map[workload.JobID]bool{},
		unrecordedWorkers:   map[WorkerID]*worker{},
		goneWorkers:         map[WorkerID]bool{},
		archiving:           map[workload.JobID]bool{},
		expired:             map[workload.JobID]bool{},
		earlyCancels:        map[workload.JobID]int64{},
	}
}

// HandleEvent handles one event. What agents say comes by Report, which answers them.
func (e *Engine) HandleEvent(now time.Duration, event Event) {
	switch ev := event.(type) {
	case JobSubmitted:
		e.submit(now, ev)
	case CancelRequested:
		e.cancel(now, ev)
	case JobRestored:
		e.restore(now, ev)
	case WorkerRestored:
		e.restoreWorker(now, ev.Info)
	case EndedJobRestored:
		e.restoreEndedJob(now, ev)
	case OrdersCompleted:
		e.ordersEnded(now, ev)
	case WriteApplied:
		e.stored(now, ev.Write)
	case CatalogChanged:
		e.catalog = ev.Catalog
		e.planNeeded = true
	case CordonsChanged:
		e.setCordons(ev)
	case Tick:
		e.tick(now, ev)
	case AdviceResponse:
		e.handleAdvice(now, ev)
	default:
		panic("engine: unknown event")
	}
}

// DelayPlanning makes no planning round before a time. What is decided already still leaves with
// the next Decide.
func (e *Engine) DelayPlanning(until time.Duration) { e.planNotBefore = until }

// NextPlanning returns when Decide would make a round that is due, and false where none is.
func (e *Engine) NextPlanning() (until time.Duration, due bool) { return e.planNotBefore, e.planNeeded }

// Decide places waiting work and returns what is to be done since the last call.
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

func (e *Engine) ordersFor(w *worker) *Orders {
	for _, o := range e.orders {
		if o.Worker == w.info.ID {
			return o
		}
	}
	o := &Orders{Worker: w.info.ID, Agent: w.info.Agent, CordonsAt: e.cordons.Revision}
	e.orders = append(e.orders, o)
	return o
}

func (e *Engine) logDecision(p *placement, kind, detail string) {
	e.actions = append(e.actions, Decision{
		Job:    p.unit.job.spec.ID,
		Kind:   kind,
		Detail: detail,
		Run:    p.id(),
		Worker: p.worker.info.ID,
	})
}

func (e *Engine) logJobDecision(j *job, kind, detail string) {
	e.actions = append(e.actions, Decision{Job: j.spec.ID, Kind: kind, Detail: detail})
}

func (e *Engine) markChanged(j *job) {
	j.bumpVersion()
	e.dirtyJobs[j.spec.ID] = true
}
