package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// WorkerID identifies one incarnation of a worker.
type WorkerID string

// WorkerInfo is what a worker states about itself when it registers.
type WorkerInfo struct {
	ID       WorkerID           `json:"id" cbor:"1,keyasint"`
	Agent    string             `json:"agent" cbor:"2,keyasint"` // the agent process next to it
	Service  string             `json:"service" cbor:"3,keyasint"`
	Zone     string             `json:"zone" cbor:"4,keyasint"`
	Labels   []string           `json:"labels,omitempty" cbor:"5,keyasint,omitempty"`
	Rack     string             `json:"rack,omitempty" cbor:"6,keyasint,omitempty"`
	Capacity workload.Resources `json:"capacity" cbor:"7,keyasint"`
	// Name is the name under which the worker is called if later incarnations may reuse it;
	// empty if every incarnation is called by its ID.
	Name string `json:"name,omitempty" cbor:"8,keyasint,omitempty"`
	// Speed is what a planner has learned of the worker's speed. It is set in the worker's record
	// only.
	Speed *SpeedRecord `json:"speed,omitempty" cbor:"-"`
	// Lease bounds the worker's lease. It is set in the worker's record only, while the lease is not granted.
	Lease *LeaseRecord `json:"lease,omitempty" cbor:"-"`
}

// CallName returns the name under which the worker is called.
func (i *WorkerInfo) CallName() string {
	if i.Name != "" {
		return i.Name
	}
	return string(i.ID)
}

// SharesName reports whether both are incarnations of one worker that keeps its name.
func (i *WorkerInfo) SharesName(other WorkerInfo) bool {
	return i.Name != "" && i.Name == other.Name && i.Agent == other.Agent
}

// worker is the engine's view of one incarnation of a worker.
type worker struct {
	info WorkerInfo
	// maxCapacity is the largest capacity that it has reported.
	maxCapacity workload.Resources
	placements  map[workload.TaskID]*placement
	// sortedCache holds the placements in order; nil after one was added or removed.
	sortedCache []*placement
	used        workload.Resources
	// orphans are runs found there that have no placement, with the time of the last stop order.
	// Until they are gone nothing is started there, since their demand is unknown.
	orphans map[workload.RunID]time.Duration
	// attached means that it reports under this engine's epoch and its own generation, so that
	// it refuses older orders.
	attached   bool
	generation uint64 // see Fence
	// ended means that the incarnation is over, and its placements are absent.
	ended bool
	// supersession is set if another incarnation follows under the same name, or may follow an
	// ended one.
	supersession *supersession
	// unresponsive means that its agent reports but the worker itself does not answer.
	unresponsive bool
	// capacityUnconfirmed means that the capacity in info may be outdated; see Report.
	capacityUnconfirmed bool
	draining            bool
	cordoned            bool // its availability zone is cordoned
	leavesAt            time.Duration
	lastReport          time.Duration
	lastPolledAt        time.Duration // when the worker itself last answered
	leaseExpiresAt      time.Duration
	leaseExpired        bool         // leaseExpiresAt has passed without a report
	leaseBasis          LeaseBasis   // how leaseExpiresAt is known
	grant               ReportOrigin // of the report that was last answered with a lease
	grantedAt           time.Duration
	silenceReported     bool // since the last grant
	// leaseRecord is the bound of the lease in the worker's record or in a write in progress, and nil if
	// neither has one. resumingGrants means that a record without it is to be stored.
	leaseRecord     *LeaseRecord
	leaseRecordedAt time.Duration
	resumingGrants  bool
	grantsResumedAt time.Duration // when such a record was stored last
	// awaitsGrant is the last report that would have been granted a lease but for leaseRecord.
	awaitsGrant ReportOrigin
	startLimit  time.Duration // see Report.StartLimit
	// placementsAtExpiry are the placements that were ended when the lease expired. If the worker
	// turns out to have crashed, it crashed under them.
	placementsAtExpiry []*placement
	// recorded means that the worker's record is in the store.
	recorded    bool
	pendingEnds []pendingEnd
	ackedEnds   int64
	lastEnd     int64 // the highest sequence number processed
	health      workerHealth
	paceControl paceControl
	// speed is what is recorded of the worker's speed, nil if nothing is. speedRecordedAt is when
	// it was last set.
	speed           *SpeedRecord
	speedRecordedAt time.Duration
	// round is the state of the current planning round for this worker.
	round workerRoundState
}

// pendingEnd is an end that the worker may forget once the job's version is stored.
type pendingEnd struct {
	sequence int64
	job      *job
	version  int
}

// record returns the worker's record for the store.
func (w *worker) record() WorkerInfo {
	info := w.info
	info.Speed = w.speed
	if !w.resumingGrants {
		info.Lease = w.leaseRecord
	}
	return info
}

func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.info.Labels, label)
}

// usable reports whether new tasks may be placed on w.
func (w *worker) usable(now time.Duration) bool { return !w.cordoned && w.usableIfUncordoned(now) }

// usableIfUncordoned reports whether w is usable apart from a cordon of its availability zone.
func (w *worker) usableIfUncordoned(now time.Duration) bool {
	// After a pause of the planner the lease may be over before a tick has noticed it.
	return w.attached && w.recorded && w.leaseBasis == LeaseGranted && !w.grantsSuspended() && !w.unresponsive && !w.capacityUnconfirmed && !w.draining && !w.leaseExpired && now < w.leaseExpiresAt &&
		len(w.orphans) == 0 && now-w.lastReport < reportTimeout
}

// free returns the unused capacity. It is negative if the capacity has shrunk below what is
// used.
func (w *worker) free() workload.Resources { return w.info.Capacity.Sub(w.used) }

// stillFits reports whether the capacity that p holds is still there.
func (w *worker) stillFits(p *placement) bool {
	return p.demand.CountFitting(w.free().Add(p.demand), 1) == 1
}

// sortedPlacements returns the placements in a fixed order. The caller must not modify the
// slice.
func (w *worker) sortedPlacements() []*placement {
	if w.sortedCache == nil && len(w.placements) > 0 {
		w.sortedCache = slices.Collect(maps.Values(w.placements))
		slices.SortFunc(w.sortedCache, func(a, b *placement) int { return compareTasks(a.taskID(), b.taskID()) })
	}
	return w.sortedCache
}

// addPlacement adds a placement and takes its capacity.
func (w *worker) addPlacement(p *placement) {
	w.placements[p.taskID()] = p
	w.sortedCache = nil
	w.used = w.used.Add(p.demand)
}

// removePlacement removes a placement that is over and frees its capacity.
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

// advanceAckedEnds advances ackedEnds past the ends that are stored and returns it.
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
