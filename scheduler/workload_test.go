package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// site is a topology with the accounts that share it.
type site struct {
	name     string
	workers  []Worker
	accounts []AccountPolicy
	largest  int // size of the largest gangs
	horizon  time.Duration
}

// smallSite has 11 workers with 8 accelerators each, in three zones.
func smallSite(name string, zones []string, cores, mem int) site {
	var ws []Worker
	for i := range 11 {
		ws = append(ws, Worker{
			ID: WorkerID(fmt.Sprintf("w%02d", i)), Zone: zones[i/3%3], Rack: fmt.Sprint("r", i/3),
			Accelerators: 8, Cores: cores, MemoryMB: mem,
		})
	}
	return site{name: name, workers: ws, horizon: 24 * time.Hour, largest: 32,
		accounts: []AccountPolicy{
			{ID: "a0", Weight: 2, Guaranteed: []Shape{{16, AdjacentRack, 1}, {8, AdjacentWorker, 1}}},
			{ID: "a1", Weight: 2, Guaranteed: []Shape{{8, AdjacentWorker, 2}}},
			{ID: "a2", Weight: 1, Guaranteed: []Shape{{2, AdjacentWorker, 1}}},
			{ID: "a3", Weight: 1},
		}}
}

func tidewater() site {
	return smallSite("Tidewater", []string{"wharf", "airside", "east"}, 32, 64_000)
}

func peachline() site {
	return smallSite("Peachline", []string{"macon", "augusta", "valdosta"}, 128, 256_000)
}

// largeSite has 17,000 workers, 42,000 accelerators and 94 accounts.
func largeSite() site {
	s := site{name: "17,000 workers", horizon: 30 * time.Minute, largest: 256}
	for i := range 17_000 {
		acc := 0
		switch rack := i / 20; {
		case rack%17 >= 14:
			acc = 8
		case rack%17 >= 11:
			acc = 4
		case rack%17 >= 8:
			acc = 2
		}
		s.workers = append(s.workers, Worker{
			ID: WorkerID(fmt.Sprintf("w%05d", i)), Zone: fmt.Sprint("z", i/5667), Rack: fmt.Sprint("r", i/20),
			Accelerators: acc, Cores: 64, MemoryMB: 256_000,
		})
	}
	for i := range 94 {
		a := AccountPolicy{ID: AccountID(fmt.Sprint("a", i)), Weight: 1 + i%4}
		if i%3 == 0 {
			a.Guaranteed = []Shape{{8, AdjacentWorker, 8}, {64, AdjacentRack, 1}, {128, AdjacentZone, 1}}
		}
		s.accounts = append(s.accounts, a)
	}
	return s
}

// workload draws jobs that together ask for load times the capacity of the
// site. Sizes and run times are heavy-tailed, declared run times are wrong by
// up to 10 times either way, and there are bursts of small and of large jobs,
// mass cancellations, and jobs that can never run.
func (s site) workload(load float64, seed uint64) []simulatedJob {
	rng := rand.New(rand.NewPCG(seed, 11))
	total := 0
	for _, w := range s.workers {
		total += w.Accelerators
	}
	budget := load * float64(total) * s.horizon.Seconds()
	var out []simulatedJob
	for used := 0.0; used < budget; {
		at := time.Duration(rng.Float64() * float64(s.horizon))
		batch := 1
		if rng.IntN(50) == 0 {
			batch = 2 + rng.IntN(max(12, total/150))
		}
		first := s.drawJob(rng, at)
		if batch > 1 && first.Accelerators > gangSize {
			batch = min(batch, 3)
		}
		cancelled := batch > 1 && rng.IntN(3) == 0
		for range batch {
			w := first
			w.ID = JobID(fmt.Sprint("j", len(out)))
			w.runTime = runTime(rng, w.Accelerators)
			w.Estimate = time.Duration(float64(w.runTime) * math.Pow(10, 2*rng.Float64()-1))
			if cancelled && rng.IntN(2) == 0 {
				w.cancelAt = at + time.Duration(rng.IntN(60))*time.Second
			}
			out = append(out, w)
			if w.Accelerators <= total {
				used += float64(w.Accelerators) * w.runTime.Seconds()
			}
		}
	}
	slices.SortStableFunc(out, func(a, b simulatedJob) int { return int(a.submitAt - b.submitAt) })
	return out
}

// drawJob draws a job that is submitted at a time.
func (s site) drawJob(rng *rand.Rand, at time.Duration) simulatedJob {
	size := s.drawSize(rng)
	a := s.accounts[min(rng.IntN(len(s.accounts)), rng.IntN(len(s.accounts)))]
	j := Job{
		Account: a.ID, Accelerators: size, Cores: 2, MemoryMB: 4000,
		Urgent: size <= 2 && rng.IntN(10) == 0, Repeatable: rng.IntN(10) < 7, Checkpointable: rng.IntN(10) < 4,
		Class: fmt.Sprint("size", size), Adjacency: Adjacency(1 + rng.IntN(3)),
	}
	switch {
	case size > 64:
		j.Adjacency = Adjacency(rng.IntN(2))
	case size > 24 && len(s.workers) < 100:
		// Only one of the three zones could hold the job, and the wait for that
		// zone would dominate the results.
		j.Adjacency = AdjacentAny
	case size > 24:
		j.Adjacency = AdjacentZone
	case size > 8:
		j.Adjacency = []Adjacency{AdjacentRack, AdjacentZone}[rng.IntN(2)]
	}
	if rng.IntN(200) == 0 {
		j.Accelerators, j.Adjacency = 100_000, AdjacentAny
	}
	return simulatedJob{Job: j, submitAt: at}
}

// drawSize draws powers of 2, each half as frequent as the one before, so that
// every size asks for about as many accelerators in all. Half of the gangs of
// 32 ask for 24 instead, a whole rack of the small sites.
func (s site) drawSize(rng *rand.Rand) int {
	size := 1
	for size < s.largest && rng.IntN(2) == 0 {
		size *= 2
	}
	if size == 32 && rng.IntN(2) == 0 {
		return 24
	}
	return size
}

// runTime draws a log-normal run time, longer for gangs.
func runTime(rng *rand.Rand, size int) time.Duration {
	median := 60.0
	if size >= gangSize {
		median = 240
	}
	return time.Duration(min(7200, median*math.Exp(rng.NormFloat64())) * float64(time.Second))
}
