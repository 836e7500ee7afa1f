package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// siteFullOfBorrowers returns a scheduler whose site is full of evictable jobs
// of an account without guarantees, started at different times, some with
// checkpoints.
func siteFullOfBorrowers(site site, seed uint64) (*Scheduler, time.Time) {
	rng := rand.New(rand.NewPCG(seed, 3))
	now := time.Unix(1e9, 0)
	s := New(Options{Start: now})
	var evs []Event
	for _, w := range site.workers {
		evs = append(evs, WorkerUp{w})
	}
	accounts := append(slices.Clone(site.accounts), AccountPolicy{ID: "borrower"})
	s.Step(now, Batch{append(evs, PolicyChanged{Policy{Generation: 1, Accounts: accounts}})})
	for i := 0; s.open.total() > 0; i++ {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(30*time.Second)))
		j := Job{ID: JobID(fmt.Sprint("b", i)), Account: "borrower", Accelerators: 1 << rng.IntN(5), Adjacency: AdjacentZone, Repeatable: true, Checkpointable: rng.IntN(5) < 2}
		if j.Accelerators > s.open.total() {
			j.Accelerators = 1
		}
		s.Step(now, JobsSubmitted{[]Job{j}})
		s.Step(now, GangStarted{j.ID, 1})
		if rng.IntN(4) == 0 {
			s.Step(now, CheckpointTaken{j.ID, now})
		}
	}
	return s, now.Add(time.Minute)
}

// evictYoungest returns the work lost if the youngest borrowers are evicted
// until every guaranteed shape fits as a block, and how many shapes would fit
// after evicting only until the sum is free.
func evictYoungest(s *Scheduler, accounts []AccountPolicy) (lost float64, satisfiedBySum int) {
	free := index{}
	free.installed = &free
	for range s.open.zones {
		free.addZone()
	}
	for _, z := range s.open.zoneOfRack {
		free.addRack(z)
	}
	for _, n := range s.nodes {
		free.addNode()
		free.set(n, n.idle())
	}
	var runs []*run
	for _, j := range s.jobs {
		if j.run != nil && !j.run.protected {
			runs = append(runs, j.run)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int { return int(b.job.seq) - int(a.job.seq) })
	for _, a := range accounts {
		for _, g := range a.Guaranteed {
			for range g.Count {
				place := free.findPlace(g.Accelerators, g.Adjacency, s.nodes)
				bySum := place != nil
				for place == nil && len(runs) > 0 {
					if free.total() >= g.Accelerators {
						bySum = false
					}
					r := runs[0]
					runs = runs[1:]
					if !r.job.Checkpointable {
						lost += s.lostWork(r)
					}
					for _, h := range r.held {
						free.set(s.nodes[h.node], int(free.values[h.node])+h.count)
					}
					place = free.findPlace(g.Accelerators, g.Adjacency, s.nodes)
					bySum = bySum || place != nil && free.total()-r.size() < g.Accelerators
				}
				if bySum {
					satisfiedBySum++
				}
				for _, p := range place {
					free.set(s.nodes[p.node], int(free.values[p.node])-p.count)
				}
			}
		}
	}
	return lost, satisfiedBySum
}

// claimAllShapes claims every guaranteed shape at once and ends the attempts
// that are asked to stop. It returns the number of claims, how many of them
// started, and the work lost.
func claimAllShapes(s *Scheduler, now time.Time, accounts []AccountPolicy) (claims, started int, lost float64) {
	var jobs []Job
	for _, a := range accounts {
		for _, g := range a.Guaranteed {
			for range g.Count {
				jobs = append(jobs, Job{ID: JobID(fmt.Sprint("c", len(jobs))), Account: a.ID, Accelerators: g.Accelerators, Adjacency: g.Adjacency})
			}
		}
	}
	actions := s.Step(now, JobsSubmitted{jobs})
	for len(actions) > 0 {
		var evs []Event
		for _, a := range actions {
			switch a := a.(type) {
			case StopGang:
				r := s.jobs[a.Job].run
				if !a.Checkpoint {
					lost += s.lostWork(r)
				}
				evs = append(evs, GangEnded{Job: a.Job, Attempt: a.Attempt, Outcome: Stopped})
			case StartGang:
				if a.Job[0] == 'c' {
					started++
				}
			}
		}
		if len(evs) == 0 {
			break
		}
		actions = s.Step(now, Batch{evs})
	}
	return len(jobs), started, lost
}

// BenchmarkReclaim compares the work lost to claims with evicting the youngest
// borrowers.
func BenchmarkReclaim(b *testing.B) {
	for _, site := range []site{tidewater(), mediumSite()} {
		b.Run(site.name+"/all", func(b *testing.B) { benchmarkReclaim(b, site, site.accounts) })
		b.Run(site.name+"/one", func(b *testing.B) {
			one := site.accounts[0]
			one.Guaranteed = []Shape{{8, AdjacentWorker, 1}}
			benchmarkReclaim(b, site, []AccountPolicy{one})
		})
	}
}

// benchmarkReclaim lets accounts claim all their shapes at once on 20 sites
// full of borrowers.
func benchmarkReclaim(b *testing.B, site site, accounts []AccountPolicy) {
	var claims, started, satisfiedBySum int
	var lostByScheduler, lostByYoungest float64
	for seed := range uint64(20) {
		s, now := siteFullOfBorrowers(site, seed)
		s.Step(now, Tick{})
		lost, bySum := evictYoungest(s, accounts)
		lostByYoungest += lost
		satisfiedBySum += bySum
		n, ok, schedulerLost := claimAllShapes(s, now, accounts)
		claims, started, lostByScheduler = claims+n, started+ok, lostByScheduler+schedulerLost
	}
	b.Logf("%d claims: %d started, %d would have fitted by sums alone; accelerator seconds lost: %.0f, by evicting the youngest %.0f", claims, started, satisfiedBySum, lostByScheduler, lostByYoungest)
	b.ReportMetric(lostByScheduler/lostByYoungest, "lost/youngest")
	b.ReportMetric(float64(started)/float64(claims), "honoured")
}

// mediumSite has 500 workers, a third of whose capacity is guaranteed.
func mediumSite() site {
	s := largeSite()
	s.name = "500 workers"
	s.workers = nil
	for i := range 500 {
		s.workers = append(s.workers, Worker{ID: WorkerID(fmt.Sprint("w", i)), Zone: fmt.Sprint("z", i/167), Rack: fmt.Sprint("r", i/10), Accelerators: 8, Cores: 64, MemoryMB: 256_000})
	}
	s.accounts = s.accounts[:10]
	for i := range s.accounts {
		s.accounts[i].Guaranteed = []Shape{{8, AdjacentWorker, 4}, {32, AdjacentRack, 1}, {64, AdjacentZone, 1}}
	}
	return s
}

// BenchmarkPlaceLargeGang compares a search through the indexes with a scan of
// all workers, for a gang of 256 on busy sites of growing size.
func BenchmarkPlaceLargeGang(b *testing.B) {
	for _, workers := range []int{2_125, 4_250, 8_500, 17_000} {
		site := largeSite()
		site.workers = site.workers[:workers]
		rng := rand.New(rand.NewPCG(1, 1))
		s := New(Options{})
		base := newBaseline(false)
		for i, w := range site.workers {
			s.workerUp(w)
			base.Step(time.Time{}, WorkerUp{w})
			busy := rng.IntN(w.Accelerators + 1)
			n := s.nodes[i]
			n.held, n.evictable = busy, busy
			s.refreshIndexes(n)
			base.busy[i] = busy
		}
		for _, span := range []Adjacency{AdjacentZone, AdjacentAny} {
			b.Run(fmt.Sprintf("index/%s/%d", span, workers), func(b *testing.B) {
				for b.Loop() {
					if s.open.findPlace(256, span, s.nodes) == nil {
						b.Fatal("no place")
					}
				}
			})
			b.Run(fmt.Sprintf("scan/%s/%d", span, workers), func(b *testing.B) {
				for b.Loop() {
					if base.bestFit(256, span) == nil {
						b.Fatal("no place")
					}
				}
			})
		}
	}
}

// bestFit finds the best fit, as the indexes do, by a scan of all workers.
func (b *baseline) bestFit(need int, span Adjacency) []allocation {
	var sums [8]int
	unitIndex := func(w *Worker) int {
		if span == AdjacentAny {
			return 0
		}
		return int(w.Zone[1] - '0')
	}
	for i := range b.workers {
		sums[unitIndex(&b.workers[i])] += b.workers[i].Accelerators - b.busy[i]
	}
	best := -1
	for i, sum := range sums {
		if sum >= need && (best < 0 || sum < sums[best]) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	var byFree [MaxWorkerAccelerators + 1][]int
	for i := range b.workers {
		if unitIndex(&b.workers[i]) == best {
			free := b.workers[i].Accelerators - b.busy[i]
			byFree[free] = append(byFree[free], i)
		}
	}
	var out []allocation
	for free := MaxWorkerAccelerators; free > 0 && need > 0; free-- {
		for _, i := range byFree[free] {
			k := min(need, free)
			out = append(out, allocation{nodeID(i), k})
			if need -= k; need == 0 {
				break
			}
		}
	}
	return out
}
