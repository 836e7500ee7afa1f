package engine

import (
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
	saved      string
	places     []*placement
	// since is when the unit last began to wait.
	since     time.Duration
	notBefore time.Duration
	// failedOn are workers where a run of it failed.
	failedOn map[WorkerID]bool
	// claims is room that is being emptied for the unit: tasks by worker.
	claims    map[*worker]int
	claimedAt time.Duration
}

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

// ending says whether the present run is on its way out.
func (u *unit) ending() bool { return u.verdict != verdictNone }
