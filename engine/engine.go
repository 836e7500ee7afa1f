package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Engine holds one planner's jobs, workers and decisions.
type Engine struct {
	params  Params
	epoch   uint64
	catalog *catalog.Catalog
	began   time.Duration
	// inherited is how much longer than Params.MaxHold a predecessor's grants may last.
	inherited time.Duration

	jobs map[workload.JobID]*job
	// sequence is the jobs in the order in which they became known; decisions iterate
	// over it and never over a map, so that they are the same for the same events.
	sequence []*job
	workers  map[WorkerID]*worker
	// sorted are the workers in the order of their names; nil after one came or went.
	sorted  []*worker
	byAgent map[string]WorkerID
	// superseded are the lives that are followed by another one of their name, by agent, and
	// turns the highest turn given.
	superseded map[string][]*worker
	turns      uint64
	tracker    tracker
	// interference is what was learned of images that share workers.
	interference interference
	cordons      catalog.Cordons
	urgent       urgent
	// asking: a question to the advice service is in progress; askAfter is when the next
	// may follow one that failed.
	asking   bool
	askAfter time.Duration
	// spareRacks are the racks that patient work leaves alone.
	spareRacks map[string]bool
	lastPlan   time.Duration
	// keptAt is when checkpoints of running work were last put on record.
	keptAt time.Duration
	// workersChanged is when a worker last came, which may make a job possible.
	workersChanged time.Duration
	wall           time.Time

	dirty       map[workload.JobID]bool
	unrecorded  map[WorkerID]*worker
	goneWorkers map[WorkerID]bool
	// closing are jobs whose records are being replaced by their outcomes, expired those
	// whose outcomes are being removed.
	closing map[workload.JobID]bool
	expired map[workload.JobID]bool
	// cancels of jobs that are not known yet.
	cancels map[workload.JobID]int64

	orders  []*Orders
	actions []Action
	replan  bool
	// planFrom is the time before which no round is made.
	planFrom time.Duration
}

// New returns an Engine for one term of a planner. inherited is how much longer than
// usual the leases that predecessors granted may last.
func New(params Params, epoch uint64, now, inherited time.Duration) *Engine {
	if params.Policy == (Policy{}) {
		params.Policy = DefaultPolicy()
	}
	return &Engine{
		inherited:      inherited,
		params:         params,
		epoch:          epoch,
		began:          now,
		workersChanged: now,
		jobs:           map[workload.JobID]*job{},
		workers:        map[WorkerID]*worker{},
		byAgent:        map[string]WorkerID{},
		superseded:     map[string][]*worker{},
		tracker:        newTracker(params.StopTime / 2),
		interference:   newInterference(),
		dirty:          map[workload.JobID]bool{},
		unrecorded:     map[WorkerID]*worker{},
		goneWorkers:    map[WorkerID]bool{},
		closing:        map[workload.JobID]bool{},
		expired:        map[workload.JobID]bool{},
		cancels:        map[workload.JobID]int64{},
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
		e.restoreEnded(now, ev)
	case OrdersCompleted:
		e.ordersEnded(now, ev)
	case WriteApplied:
		e.stored(now, ev.Write)
	case CatalogChanged:
		e.catalog = ev.Catalog
		e.replan = true
	case CordonsChanged:
		e.cordon(ev)
	case Tick:
		e.tick(now, ev)
	case AdviceResponse:
		e.advice(now, ev)
	default:
		panic("engine: unknown event")
	}
}

// DelayPlanning makes no planning round before a time. What is decided already still leaves with
// the next Decide.
func (e *Engine) DelayPlanning(until time.Duration) { e.planFrom = until }

// NextPlanning returns when Decide would make a round that is due, and false where none is.
func (e *Engine) NextPlanning() (until time.Duration, due bool) { return e.planFrom, e.replan }

// Decide places waiting work and returns what is to be done since the last call.
func (e *Engine) Decide(now time.Duration) []Action {
	if e.replan && now >= e.planFrom {
		e.replan = false
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

func (e *Engine) decided(p *placement, what, detail string) {
	e.actions = append(e.actions, Decision{
		Job:    p.unit.job.spec.ID,
		Kind:   what,
		Detail: detail,
		Run:    p.id(),
		Worker: p.worker.info.ID,
	})
}

func (e *Engine) decidedJob(j *job, what, detail string) {
	e.actions = append(e.actions, Decision{Job: j.spec.ID, Kind: what, Detail: detail})
}

func (e *Engine) change(j *job) {
	j.touched()
	e.dirty[j.spec.ID] = true
}
