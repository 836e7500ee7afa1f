package engine

import (
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// unitState is how far a unit has come.
type unitState int

const (
	unitBlocked unitState = iota // earlier steps are not done
	unitWaiting
	unitActive // at least one placement is not over
	unitDone
	unitFailed
)

// runOutcome is what the present run of a unit came to.
type runOutcome int

const (
	outcomeNone  runOutcome = iota
	outcomeRetry            // it has to start again
	outcomeDone
)

// unit is what starts together: one gang, or one task.
type unit struct {
	job        *job
	occurrence int
	step       int
	index      int // of the task; 0 for a gang
	size       int
	state      unitState
	outcome    runOutcome
	runNumber  int // highest number used
	failures   int
	failedRun  int // the last run that counted as a failure
	checkpoint string
	// checkpointAt is when the checkpoint in saved was first seen, while its run goes on.
	checkpointAt time.Duration
	placements   []*placement
	// cause is why the present run ends undone; causeNone while it does not.
	cause Cause
	times timeBreakdown
	// waitingSince is when the unit last began to wait.
	waitingSince time.Duration
	// placedAt is when its present run was decided.
	placedAt time.Duration
	// invalidBackoff paces orders that workers could not read, restartBackoff those of a task that lasts
	// and ends soon after each start.
	invalidBackoff, restartBackoff backoff
	notBefore                      time.Duration
	// nextWaitLog is when the log may say again what the unit waits for.
	nextWaitLog time.Duration
	stallCount  int // how often it was stopped because it stood still
	// avoidedWorkers are workers where a run of it failed, and until when.
	avoidedWorkers map[WorkerID]time.Duration
	// crashes counts the workers that crashed under its tasks, by index; tasks under which
	// none did are not there. shuns are the agents beside which they did, and until when.
	crashes       map[int]crashCount
	avoidedAgents map[string]time.Duration
	// probationSince is since when it lets go of room for the sake of its probation; 0 where it
	// does not.
	probationSince time.Duration
	// claims is room that is being emptied for the unit: tasks by worker.
	claims    map[*worker]int
	claimedAt time.Duration
	// fleetIdleSince is since when it has waited for room nearby with most of the fleet idle; 0
	// where it has not.
	fleetIdleSince time.Duration
	// nextEvictionSearch is when victims may be looked for again.
	nextEvictionSearch time.Duration
}

// occurrenceStep is a step of one occurrence of a job.
type occurrenceStep struct {
	occurrence int
	step       int
}

// stepKey is a step of one occurrence among all jobs.
type stepKey struct {
	job  *job
	step occurrenceStep
}

func (u *unit) occurrenceStep() occurrenceStep { return occurrenceStep{u.occurrence, u.step} }

func (u *unit) key() stepKey { return stepKey{u.job, u.occurrenceStep()} }

func (u *unit) spec() *workload.Step { return &u.job.spec.Steps[u.step] }

func (u *unit) demand() workload.Resources { return u.spec().Demand() }

// totalDemand returns what all members of the unit take.
func (u *unit) totalDemand() workload.Resources { return u.demand().Times(u.size) }

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

// workerAvoidanceTime is how long a unit keeps away from a worker where it failed. Workers that
// fail everything do so for five seconds or so, and show it by then to others too.
const workerAvoidanceTime = 6 * time.Second

// avoidWorker keeps the unit of p away from its worker.
func (e *Engine) avoidWorker(now time.Duration, p *placement) {
	if !e.params.Policy.Avoidance {
		return
	}
	u := p.unit
	if u.avoidedWorkers == nil {
		u.avoidedWorkers = map[WorkerID]time.Duration{}
	}
	u.avoidedWorkers[p.worker.info.ID] = now + workerAvoidanceTime
}

// adopted says whether a predecessor placed its present run and no worker has told of it yet.
func (u *unit) adopted() bool {
	return slices.ContainsFunc(u.placements, func(p *placement) bool { return p.state == placementAdopted })
}

// ending says whether the present run is on its way out.
func (u *unit) ending() bool { return u.outcome != outcomeNone }
