package scheduler

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// baseline is the scheduler that benchmarks compare against: first fit in order
// of arrival, without reservations or predictions, skipping jobs that don't
// fit. Guarantees are sums: an account below the sum of its shapes has the
// youngest borrowers evicted until enough accelerators are free.
type baseline struct {
	// strict lets no job pass the first one in the queue.
	strict bool
	// partitioned sets workers aside for each guaranteed shape. They stay idle
	// while their account does not use them.
	partitioned    bool
	policy         Policy      // not yet applied
	partitionOwner []AccountID // by worker: the account that it is set aside for
	partitionSize  []int       // by worker: accelerators set aside
	partitionUsed  []int       // by worker: those of them in use
	workers        []Worker
	usedMasks      []uint64
	busy           []int
	queue          []*baselineJob
	jobs           map[JobID]*baselineJob
	indexByWorker  map[WorkerID]int
	guaranteedSums map[AccountID]int
	usedByAccount  map[AccountID]int
	startCount     int
}

// baselineJob is a job of the baseline.
type baselineJob struct {
	Job
	attempt     Attempt
	place       []allocation
	masks       []uint64
	inPartition []int // by allocation: accelerators within the account's partition
	running     bool
	stopping    bool
	cancelled   bool
	started     int // order of starts
}

func newBaseline(strict bool) *baseline {
	return &baseline{strict: strict, jobs: map[JobID]*baselineJob{}, indexByWorker: map[WorkerID]int{}, guaranteedSums: map[AccountID]int{}, usedByAccount: map[AccountID]int{}}
}

func (b *baseline) Step(now time.Time, ev Event) []Action {
	var out []Action
	evs := []Event{ev}
	if batch, ok := ev.(Batch); ok {
		evs = batch.Events
	}
	for _, e := range evs {
		switch e := e.(type) {
		case WorkerUp:
			b.indexByWorker[e.Worker.ID] = len(b.workers)
			b.workers = append(b.workers, e.Worker)
			b.usedMasks, b.busy = append(b.usedMasks, 0), append(b.busy, 0)
			b.partitionOwner, b.partitionSize, b.partitionUsed = append(b.partitionOwner, ""), append(b.partitionSize, 0), append(b.partitionUsed, 0)
		case PolicyChanged:
			b.policy = e.Policy
		case JobsSubmitted:
			for _, j := range e.Jobs {
				out = append(out, b.submit(j)...)
			}
		case JobsCancelled:
			for _, id := range e.IDs {
				out = append(out, b.cancel(id)...)
			}
		case GangEnded:
			out = append(out, b.gangEnded(e)...)
		}
	}
	b.applyPolicy()
	return append(out, b.startQueued()...)
}

// applyPolicy applies the policy of a batch after its workers are added, since
// the simulator sends the policy first.
func (b *baseline) applyPolicy() {
	for _, a := range b.policy.Accounts {
		for _, g := range a.Guaranteed {
			b.guaranteedSums[a.ID] += g.Accelerators * g.Count
			b.partition(a.ID, g)
		}
	}
	b.policy = Policy{}
}

func (b *baseline) submit(j Job) []Action {
	total := 0
	for _, w := range b.workers {
		total += w.Accelerators
	}
	if j.Accelerators > total {
		return []Action{RejectJob{Job: j.ID, Reason: RejectTooLarge}}
	}
	b.jobs[j.ID] = &baselineJob{Job: j}
	b.queue = append(b.queue, b.jobs[j.ID])
	return nil
}

func (b *baseline) cancel(id JobID) []Action {
	j := b.jobs[id]
	if j == nil {
		return nil
	}
	j.cancelled = true
	if j.running {
		j.stopping = true
		return []Action{StopGang{Job: id, Attempt: j.attempt, Reason: StopCancelled}}
	}
	delete(b.jobs, id)
	b.queue = slices.DeleteFunc(b.queue, func(x *baselineJob) bool { return x == j })
	return []Action{RejectJob{Job: id, Reason: RejectCancelled}}
}

func (b *baseline) gangEnded(e GangEnded) []Action {
	j := b.jobs[e.Job]
	for i, p := range j.place {
		b.usedMasks[p.node] &^= j.masks[i]
		b.partitionUsed[p.node] -= j.inPartition[i]
		b.busy[p.node] -= p.count
	}
	b.usedByAccount[j.Account] -= j.Accelerators
	j.place, j.masks, j.inPartition, j.running, j.stopping = nil, nil, nil, false, false
	if e.Outcome == Done || j.cancelled {
		delete(b.jobs, e.Job)
		return []Action{RejectJob{Job: e.Job, Reason: RejectCancelled}}
	}
	b.queue = append(b.queue, j)
	return nil
}

func (b *baseline) startQueued() []Action {
	var out []Action
	failed := map[queueKey]bool{}
	kept := b.queue[:0]
	for i, j := range b.queue {
		k := keyOf(&j.Job)
		k.class = ""
		if b.partitioned {
			k.class = string(j.Account)
		}
		at := []allocation(nil)
		if !failed[k] {
			at = b.firstFit(j.Account, j.Accelerators, j.Adjacency)
		}
		if at == nil {
			failed[k] = true
			out = append(out, b.reclaim(j)...)
			kept = append(kept, j)
			if b.strict {
				kept = append(kept, b.queue[i+1:]...)
				break
			}
			continue
		}
		out = append(out, b.start(j, at))
	}
	b.queue = kept
	return out
}

// firstFit takes the first workers in order that have enough free accelerators
// within one unit of a span.
func (b *baseline) firstFit(a AccountID, need int, span Adjacency) []allocation {
	have := map[string]int{}
	unitName := func(w *Worker) string {
		switch span {
		case AdjacentWorker:
			return string(w.ID)
		case AdjacentRack:
			return w.Zone + w.Rack
		case AdjacentZone:
			return w.Zone
		}
		return ""
	}
	for i := range b.workers {
		w := &b.workers[i]
		free := b.freeFor(i, a)
		if free <= 0 {
			continue
		}
		n := unitName(w)
		if have[n] += free; have[n] >= need {
			return b.takeInUnit(a, need, n, unitName)
		}
	}
	return nil
}

func (b *baseline) takeInUnit(a AccountID, need int, unit string, unitName func(*Worker) string) []allocation {
	var out []allocation
	for i := range b.workers {
		w := &b.workers[i]
		k := min(need, b.freeFor(i, a))
		if k > 0 && unitName(w) == unit {
			out = append(out, allocation{nodeID(i), k})
			if need -= k; need == 0 {
				break
			}
		}
	}
	return out
}

func (b *baseline) start(j *baselineJob, at []allocation) Action {
	b.startCount++
	j.attempt++
	j.place, j.running, j.started = at, true, b.startCount
	b.usedByAccount[j.Account] += j.Accelerators
	place := make(Placement, len(at))
	for i, p := range at {
		var mask uint64
		for bit, n := 0, 0; n < p.count; bit++ {
			if b.usedMasks[p.node]&(1<<bit) == 0 {
				mask |= 1 << bit
				n++
			}
		}
		j.masks = append(j.masks, mask)
		b.usedMasks[p.node] |= mask
		b.busy[p.node] += p.count
		in := 0
		if b.partitionOwner[p.node] == j.Account {
			in = min(p.count, b.partitionSize[p.node]-b.partitionUsed[p.node])
		}
		b.partitionUsed[p.node] += in
		j.inPartition = append(j.inPartition, in)
		place[i] = Grant{b.workers[p.node].ID, lowestBits(mask, p.count)}
	}
	return StartGang{j.ID, j.attempt, place}
}

// reclaim evicts the youngest borrowers until the sum of the accelerators that
// are free or being freed would hold the job.
func (b *baseline) reclaim(j *baselineJob) []Action {
	if b.partitioned || b.guaranteedSums[j.Account] == 0 || b.usedByAccount[j.Account]+j.Accelerators > b.guaranteedSums[j.Account] {
		return nil
	}
	expectedFree := 0
	for i, w := range b.workers {
		expectedFree += w.Accelerators - b.busy[i]
	}
	var out []Action
	for _, x := range b.jobs {
		if x.stopping {
			expectedFree += x.Accelerators
		}
	}
	for expectedFree < j.Accelerators {
		y := b.youngestBorrower(j.Account)
		if y == nil {
			return out
		}
		y.stopping = true
		expectedFree += y.Accelerators
		out = append(out, StopGang{Job: y.ID, Attempt: y.attempt, Checkpoint: y.Checkpointable, Reason: StopReclaim})
	}
	return out
}

func (b *baseline) youngestBorrower(except AccountID) *baselineJob {
	var best *baselineJob
	for _, x := range b.jobs {
		over := b.usedByAccount[x.Account] > b.guaranteedSums[x.Account]
		if x.running && !x.stopping && over && x.Account != except && x.Evictable() && (best == nil || x.started > best.started) {
			best = x
		}
	}
	return best
}

// partition sets workers aside for a shape, from the last one down, so that
// racks stay together.
func (b *baseline) partition(a AccountID, g Shape) {
	if !b.partitioned {
		return
	}
	for need, i := g.Accelerators*g.Count, len(b.workers)-1; need > 0 && i >= 0; i-- {
		if b.partitionSize[i] > 0 {
			continue
		}
		b.partitionOwner[i], b.partitionSize[i] = a, min(need, b.workers[i].Accelerators)
		need -= b.partitionSize[i]
	}
}

// freeFor returns the accelerators of a worker that an account may use.
func (b *baseline) freeFor(i int, a AccountID) int {
	free := b.workers[i].Accelerators - b.busy[i]
	if b.partitionOwner[i] != a {
		free -= b.partitionSize[i] - b.partitionUsed[i]
	}
	return free
}

// The baseline must partition workers although the simulator sends the policy
// first, or benchmarks would compare against first fit without guarantees.
func TestBaselinePartitionsWorkers(t *testing.T) {
	p := newBaseline(false)
	p.partitioned = true
	newSimulator(p, tidewater().workers, Policy{Accounts: tidewater().accounts}, nil, time.Hour)
	qt.Assert(t, p.partitionSize, qt.DeepEquals, []int{0, 0, 0, 0, 0, 2, 8, 8, 8, 8, 8})
}
