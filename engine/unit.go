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

// verdict is what the present run of a unit came to.
type verdict int

const (
	verdictNone  verdict = iota
	verdictRetry         // it has to start again
	verdictDone
)

// unit is what starts together: one gang, or one task.
type unit struct {
	job        *job
	occurrence int
	step       int
	index      int // of the task; 0 for a gang
	size       int
	state      unitState
	verdict    verdict
	run        int // highest number used
	failures   int
	failedRun  int // the last run that counted as a failure
	saved      string
	// keptTo is when the checkpoint in saved was first seen, while its run goes on.
	keptTo time.Duration
	places []*placement
	// cause is why the present run ends undone; causeNone while it does not.
	cause Cause
	spent spent
	// since is when the unit last began to wait.
	since time.Duration
	// placedAt is when its present run was decided.
	placedAt time.Duration
	// invalid paces orders that workers could not read, restarts those of a task that lasts
	// and ends soon after each start.
	invalid, restarts backoff
	notBefore         time.Duration
	// tellNext is when the log may say again what the unit waits for.
	tellNext time.Duration
	stalls   int // how often it was stopped because it stood still
	// avoids are workers where a run of it failed, and until when.
	avoids map[WorkerID]time.Duration
	// crashes counts the workers that crashed under its tasks, by index; tasks under which
	// none did are not there. shuns are the agents beside which they did, and until when.
	crashes map[int]crashCount
	shuns   map[string]time.Duration
	// heldFrom is since when it lets go of room for the sake of its probation; 0 where it
	// does not.
	heldFrom time.Duration
	// claims is room that is being emptied for the unit: tasks by worker.
	claims    map[*worker]int
	claimedAt time.Duration
	// idleSince is since when it has waited for room nearby with most of the fleet idle; 0
	// where it has not.
	idleSince time.Duration
	// evictNext is when victims may be looked for again.
	evictNext time.Duration
}

// stepAt is a step of one occurrence of a job.
type stepAt struct {
	occurrence int
	step       int
}

// stepKey is a step of one occurrence among all jobs.
type stepKey struct {
	job *job
	at  stepAt
}

func (u *unit) at() stepAt { return stepAt{u.occurrence, u.step} }

func (u *unit) key() stepKey { return stepKey{u.job, u.at()} }

func (u *unit) spec() *workload.Step { return &u.job.spec.Steps[u.step] }

func (u *unit) demand() workload.Resources { return u.spec().Demand() }

// total returns what all members of the unit take.
func (u *unit) total() workload.Resources { return u.demand().Times(u.size) }

func (u *unit) indexes() []int {
	if !u.spec().Gang {
		return []int{u.index}
	}
	out := make([]int, u.size)
	for i := range out {
		out[i] = i
	}
	return out
}

// avoidFor is how long a unit keeps away from a worker where it failed. Workers that
// fail everything do so for five seconds or so, and show it by then to others too.
const avoidFor = 6 * time.Second

// avoid keeps the unit of p away from its worker.
func (e *Engine) avoid(now time.Duration, p *placement) {
	if !e.params.Policy.Avoidance {
		return
	}
	u := p.unit
	if u.avoids == nil {
		u.avoids = map[WorkerID]time.Duration{}
	}
	u.avoids[p.worker.info.ID] = now + avoidFor
}

// adopted says whether a predecessor placed its present run and no worker has told of it yet.
func (u *unit) adopted() bool {
	return slices.ContainsFunc(u.places, func(p *placement) bool { return p.state == placeAdopted })
}

// ending says whether the present run is on its way out.
func (u *unit) ending() bool { return u.verdict != verdictNone }
