package engine

import (
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// unitState is the scheduling state of a unit.
type unitState int

const (
	unitBlocked unitState = iota // earlier steps are not done
	unitWaiting
	unitActive // at least one placement is not over
	unitDone
	unitFailed
)

// runOutcome is the outcome of a unit's current run.
type runOutcome int

const (
	outcomeNone  runOutcome = iota
	outcomeRetry            // the unit has to start again
	outcomeDone
)

// unit is a set of tasks that start together: a gang or a single task.
type unit struct {
	job *job
	// stepSpec is kept here since the job gives its steps up when it is archived, while a worker
	// may still have placements of the unit at the expiry of its lease.
	stepSpec   *workload.Step
	occurrence int
	step       int
	index      int // index of the task; 0 for a gang
	size       int
	state      unitState
	outcome    runOutcome
	runNumber  int // the highest number used
	// measuredRun is the last run whose length was used to learn the speed of its workers.
	measuredRun int
	failures    int
	failedRun   int // the last run that was counted in failures
	checkpoint  string
	// checkpointAt is when checkpoint was first reported, for a run that still continues.
	checkpointAt time.Duration
	placements   []*placement
	// cause is why the current run ends without being done; causeNone if it does not.
	cause Cause
	times timeBreakdown
	// waitingSince is when the unit last began to wait.
	waitingSince time.Duration
	// placedAt is when the current run was placed.
	placedAt time.Duration
	// invalidBackoff delays a start after one that the worker could not decode, restartBackoff
	// the restart of a long-running task that ended soon after its start.
	invalidBackoff, restartBackoff backoff
	notBefore                      time.Duration
	// nextWaitLog is the earliest time of the next log entry about what the unit waits for.
	nextWaitLog time.Duration
	// queueClass and waitReason are those of the last planning round. reportedWaits has a bit for each
	// WaitReason that was reported since the unit last started.
	queueClass    queueClass
	waitReason    WaitReason
	reportedWaits uint8
	stallCount    int // how often it was stopped as stuck
	// avoidedWorkers are workers where a run failed or got stuck, with the end of the
	// avoidance.
	avoidedWorkers map[WorkerID]time.Duration
	// crashes counts worker crashes by task index; tasks without crashes have no entry.
	// avoidedAgents are the agents of the crashed workers, with the end of the avoidance.
	crashes       map[int]crashCount
	avoidedAgents map[string]time.Duration
	// probationSince is when the unit began to pass over available capacity because of its
	// probation; 0 if it does not.
	probationSince time.Duration
	// claims is the capacity being freed for the unit, as the number of its tasks by worker.
	claims    map[*worker]int
	claimedAt time.Duration
	// fleetIdleSince is since when the unit has waited for nearby capacity while most of the
	// fleet was idle; 0 if it has not.
	fleetIdleSince time.Duration
	// nextEvictionSearch is the earliest time of the next search for eviction victims.
	nextEvictionSearch time.Duration
}

// occurrenceStep identifies a step within one occurrence of a job.
type occurrenceStep struct {
	occurrence int
	step       int
}

// stepKey identifies a step within one occurrence among all jobs.
type stepKey struct {
	job  *job
	step occurrenceStep
}

func (u *unit) occurrenceStep() occurrenceStep { return occurrenceStep{u.occurrence, u.step} }

func (u *unit) key() stepKey { return stepKey{u.job, u.occurrenceStep()} }

func (u *unit) spec() *workload.Step { return u.stepSpec }

func (u *unit) demand() workload.Resources { return u.spec().Demand() }

// totalDemand returns the resources of all members together.
func (u *unit) totalDemand() workload.Resources { return u.demand().Times(u.size) }

// taskIndexes returns the indexes of the unit's tasks within their step.
func (u *unit) taskIndexes() []int {
	if !u.spec().Gang {
		return []int{u.index}
	}
	out := make([]int, u.size)
	for i := range out {
		out[i] = i
	}
	return out
}

// workerAvoidanceTime is how long a unit avoids a worker where it failed.
const workerAvoidanceTime = 6 * time.Second

// avoidWorker makes the unit of p avoid its worker for a while.
func (e *Engine) avoidWorker(now time.Duration, p *placement) {
	if !e.params.Policy.AvoidFailedWorkers {
		return
	}
	u := p.unit
	if u.avoidedWorkers == nil {
		u.avoidedWorkers = map[WorkerID]time.Duration{}
	}
	u.avoidedWorkers[p.worker.info.ID] = now + workerAvoidanceTime
}

// adopted reports whether some placement is adopted and not yet confirmed by its worker.
func (u *unit) adopted() bool {
	return slices.ContainsFunc(u.placements, func(p *placement) bool { return p.state == placementAdopted })
}

// ending reports whether the current run is done or has to start again.
func (u *unit) ending() bool { return u.outcome != outcomeNone }
