package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// WorkerID names one life of a worker.
type WorkerID string

// WorkerInfo is what a worker says of itself once.
type WorkerInfo struct {
	ID       WorkerID           `json:"id" cbor:"1,keyasint"`
	Agent    string             `json:"agent" cbor:"2,keyasint"` // the process beside it
	Service  string             `json:"service" cbor:"3,keyasint"`
	Zone     string             `json:"zone" cbor:"4,keyasint"`
	Labels   []string           `json:"labels,omitempty" cbor:"5,keyasint,omitempty"`
	Rack     string             `json:"rack,omitempty" cbor:"6,keyasint,omitempty"`
	Capacity workload.Resources `json:"capacity" cbor:"7,keyasint"`
	// Name is what calls to it carry where further lives may have it too; empty where each
	// life goes by an ID of its own.
	Name string `json:"name,omitempty" cbor:"8,keyasint,omitempty"`
}

// CallName is the name under which the worker answers.
func (i *WorkerInfo) CallName() string {
	if i.Name != "" {
		return i.Name
	}
	return string(i.ID)
}

// SharesName says whether both are lives of one worker that keeps its name.
func (i *WorkerInfo) SharesName(other WorkerInfo) bool {
	return i.Name != "" && i.Name == other.Name && i.Agent == other.Agent
}

// worker is the engine's view of one life of a worker.
type worker struct {
	info WorkerInfo
	// maxCapacity is the maxCapacity room that it told of.
	maxCapacity workload.Resources
	placements  map[workload.TaskID]*placement
	// sortedCache are the places in their order; nil after one was added or removed.
	sortedCache []*placement
	used        workload.Resources
	// orphans are runs found there that the engine did not place; until they are gone
	// nothing is started, since what they take is not known.
	orphans map[workload.RunID]time.Duration // when a stop was last sent
	// attached: it reports under this engine's epoch and its own turn, so older orders are
	// refused.
	attached   bool
	generation uint64 // see Fence
	// supersession: another life of its name follows it; nil: none.
	supersession *supersession
	// unresponsive: its agent reports, but the worker itself does not answer.
	unresponsive   bool
	draining       bool
	cordoned       bool // its availability zone is
	leavesAt       time.Duration
	lastReport     time.Duration
	lastPolledAt   time.Duration // when the worker itself last answered
	leaseExpiresAt time.Duration
	leaseExpired   bool // lapseAt has passed without a report
	// runsAtExpiry are the runs that were given up then. If the worker's next word is that it
	// had crashed, it crashed under them.
	runsAtExpiry []*placement
	// recorded: the worker's record is in the store.
	recorded    bool
	pendingEnds []pendingEnd
	ackedEnds   int64
	lastEnd     int64 // the highest end handled
	health      workerHealth
	sharing     sharing
	// round is what the planning round in progress notes of the worker.
	round workerRoundState
}

// pendingEnd is an end that the worker may forget once the job's version is stored.
type pendingEnd struct {
	sequence int64
	job      *job
	version  int
}

func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.info.Labels, label)
}

// usable says whether new tasks may be placed on w.
func (w *worker) usable(now time.Duration) bool { return !w.cordoned && w.usableIfUncordoned(now) }

// usableIfUncordoned says whether w is usable as soon as its availability zone is.
func (w *worker) usableIfUncordoned(now time.Duration) bool {
	return w.attached && w.recorded && !w.unresponsive && !w.draining && !w.leaseExpired &&
		len(w.orphans) == 0 && now-w.lastReport < reportTimeout
}

// free returns the room that nothing holds. It is negative where the worker's room has
// shrunk below what it holds.
func (w *worker) free() workload.Resources { return w.info.Capacity.Sub(w.used) }

// stillFits says whether the room that p holds is still there.
func (w *worker) stillFits(p *placement) bool {
	return p.demand.CountFitting(w.free().Add(p.demand), 1) == 1
}

// sortedPlacements returns the placements in a fixed order, as they are now. The caller does not
// change the slice.
func (w *worker) sortedPlacements() []*placement {
	if w.sortedCache == nil && len(w.placements) > 0 {
		w.sortedCache = slices.Collect(maps.Values(w.placements))
		slices.SortFunc(w.sortedCache, func(a, b *placement) int { return compareTasks(a.taskID(), b.taskID()) })
	}
	return w.sortedCache
}

// addPlacement takes the room of a placement.
func (w *worker) addPlacement(p *placement) {
	w.placements[p.taskID()] = p
	w.sortedCache = nil
	w.used = w.used.Add(p.demand)
}

// removePlacement frees the room of a placement that is over.
func (w *worker) removePlacement(p *placement) {
	if w.placements[p.taskID()] != p {
		return
	}
	delete(w.placements, p.taskID())
	w.sortedCache = nil
	w.used = w.used.Sub(p.demand)
}

func compareTasks(a, b workload.TaskID) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index),
	)
}

// advanceAckedEnds advances seen past the ends that are on record.
func (w *worker) advanceAckedEnds() int64 {
	for len(w.pendingEnds) > 0 {
		end := w.pendingEnds[0]
		if end.job != nil && end.job.storedVersion < end.version {
			break
		}
		w.ackedEnds = end.sequence
		w.pendingEnds = w.pendingEnds[1:]
	}
	return w.ackedEnds
}
