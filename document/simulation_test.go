package document_test

import (
	"context"
	"flag"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/document"
)

var (
	simulationRuns = flag.Uint64("fleet.runs", 150, "seeded runs of the fleet")
	simulationSeed = flag.Uint64("fleet.seed", 1, "first seed of the fleet")
)

// countHolders counts the places that hold the latest acknowledged version or what
// followed it. No design survives the loss of the last.
func (f *simulation) countHolders(in storeBackup, without int) int {
	n := 0
	for i, p := range f.processes {
		h, ok := p.active.Current("dispatch")
		if ok && i != without && !h.Version.CreatedAt.Before(f.lastAcknowledged.CreatedAt) {
			n++
		}
	}
	if kv, ok := in.keys[document.StoreKey("dispatch")]; ok {
		v, err := document.UnmarshalVersion(kv.Value)
		f.c.Assert(err, qt.IsNil)
		if !v.CreatedAt.Before(f.lastAcknowledged.CreatedAt) {
			n++
		}
	}
	return n
}

func (f *simulation) restart() {
	i := f.rng.IntN(processCount)
	if f.lastAcknowledged.Generation == 0 || f.countHolders(f.store.backup(), i) > 0 {
		f.start(i)
	}
}

func (f *simulation) restore() {
	if len(f.backups) == 0 {
		return
	}
	b := f.backups[f.rng.IntN(len(f.backups))]
	if f.lastAcknowledged.Generation == 0 || f.countHolders(b, -1) > 0 {
		f.store.restore(b)
	}
}

// step does one thing at random.
func (f *simulation) step() {
	time.Sleep(time.Duration(1+f.rng.IntN(100)) * time.Millisecond)
	p := f.randomProcess()
	switch n := f.rng.IntN(100); {
	case n < 25:
		f.list(p)
	case n < 55:
		f.query(p, f.randomProcess(), f.rng.IntN(3) == 0)
	case n < 65 && len(f.delayedAnswers) > 0:
		f.handle(p, f.delayedAnswers[f.rng.IntN(len(f.delayedAnswers))])
	case n < 75 && len(f.oldEvents) > 0:
		f.handle(p, document.StoreChanged{Document: f.oldEvents[f.rng.IntN(len(f.oldEvents))]})
	case n < 85:
		f.put()
	case n < 89:
		f.restart()
	case n < 92:
		f.store.setDown(f.rng.IntN(2) == 0)
	case n < 95:
		f.backups = append(f.backups, f.store.backup())
	case n < 98:
		f.restore()
	default:
		f.handle(p, document.SyncerTick{})
	}
	f.recordCommonGeneration()
}

// recordCommonGeneration notes what all ready processes hold, where any is ready.
func (f *simulation) recordCommonGeneration() {
	var lowest uint64
	for _, p := range f.processes {
		if !p.syncer.Ready() {
			continue
		}
		if g := f.generation(p); lowest == 0 || g < lowest {
			lowest = g
		}
	}
	if n := len(f.commonGenerations); lowest > 0 && (n == 0 || lowest > f.commonGenerations[n-1].generation) {
		f.commonGenerations = append(f.commonGenerations, commonGeneration{generation: lowest, at: time.Now()})
	}
}

// checkReady: seconds after all ready processes have a generation, and while
// one of them lives, no process becomes ready with a lower one.
func (f *simulation) checkReady(p *process, source document.ConfirmationSource) {
	var highest uint64
	for _, q := range f.processes {
		if q != nil && q != p && q.syncer.Ready() {
			highest = max(highest, f.generation(q))
		}
	}
	for i, e := range f.commonGenerations {
		if e.generation > highest {
			f.commonGenerations = f.commonGenerations[:i] // nobody is left who could tell
			break
		}
		settled := time.Since(e.at) > document.DefaultSyncerConfig(true).MaxAnswerAge
		f.c.Assert(settled && f.generation(p) < e.generation, qt.IsFalse, qt.Commentf(
			"seed %d: %s became ready from %s with generation %d after all had held %d",
			f.seed, p.id, source, f.generation(p), e.generation))
		if f.generation(p) < e.generation {
			f.commonGenerations = f.commonGenerations[:i] // not held by all long enough
			break
		}
	}
}

// settle ends all faults and lets everyone talk.
func (f *simulation) settle() {
	f.store.setDown(false)
	f.store.nextFault = nil
	for range 6 {
		for _, p := range f.processes {
			f.list(p)
			for _, q := range f.processes {
				f.query(p, q, false)
			}
		}
	}
}

func (f *simulation) checkConverged() {
	stored, _, err := document.Get(context.Background(), f.store, "dispatch")
	f.c.Assert(err, qt.IsNil)
	for _, p := range f.processes {
		f.c.Assert(f.generation(p), qt.Equals, stored.Generation, qt.Commentf("seed %d: %s", f.seed, p.id))
		if stored.Generation > 0 {
			f.c.Assert(p.active.Summaries()[0], qt.Equals, stored.Summary(), qt.Commentf("seed %d: %s", f.seed, p.id))
		}
	}
	f.c.Assert(stored.CreatedAt.Before(f.lastAcknowledged.CreatedAt), qt.IsFalse, qt.Commentf(
		"seed %d: acknowledged generation %d by %s, in force at the end %d by %s",
		f.seed, f.lastAcknowledged.Generation, f.lastAcknowledged.Author, stored.Generation, stored.Author))
}

// Operators put while replies are lost, processes restart with nothing, the
// store goes out and is restored from old backups, watches deliver old events
// and peers answer late. On no process may the generation in force decrease,
// and what an operator was told success for must not give way to anything
// accepted before it.
func TestSimulationGenerationNeverDecreases(t *testing.T) {
	puts, writeBacks := 0, 0
	for seed := *simulationSeed; seed < *simulationSeed+*simulationRuns; seed++ {
		synctest.Test(t, func(t *testing.T) {
			f := newSimulation(qt.New(t), seed)
			for range simulationSteps {
				f.step()
			}
			f.settle()
			f.checkConverged()
			puts += f.puts
			writeBacks += f.writeBacks
		})
	}
	t.Logf("%d runs from seed %d: %d puts, %d write backs", *simulationRuns, *simulationSeed, puts, writeBacks)
}
