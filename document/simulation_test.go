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
	simulationRuns = flag.Uint64("fleet.runs", 150, "number of seeded simulation runs")
	simulationSeed = flag.Uint64("fleet.seed", 1, "first seed of the simulation runs")
)

// countHolders returns the number of places, excluding one process, that hold the latest
// acknowledged version or a later one. Faults that would lose all of them are not
// injected.
func (s *simulation) countHolders(backup storeBackup, excluded int) int {
	n := 0
	for i, p := range s.processes {
		active, ok := p.active.Current("dispatch")
		if ok && i != excluded && !active.Version.CreatedAt.Before(s.lastAcknowledged.CreatedAt) {
			n++
		}
	}
	if kv, ok := backup.keys[document.StoreKey("dispatch")]; ok {
		v, err := document.UnmarshalVersion(kv.Value)
		s.c.Assert(err, qt.IsNil)
		if !v.CreatedAt.Before(s.lastAcknowledged.CreatedAt) {
			n++
		}
	}
	return n
}

func (s *simulation) restart() {
	i := s.rng.IntN(processCount)
	if s.lastAcknowledged.Generation == 0 || s.countHolders(s.store.backup(), i) > 0 {
		s.start(i)
	}
}

func (s *simulation) restore() {
	if len(s.backups) == 0 {
		return
	}
	b := s.backups[s.rng.IntN(len(s.backups))]
	if s.lastAcknowledged.Generation == 0 || s.countHolders(b, -1) > 0 {
		s.store.restore(b)
	}
}

// step performs one random event.
func (s *simulation) step() {
	time.Sleep(time.Duration(1+s.rng.IntN(100)) * time.Millisecond)
	p := s.randomProcess()
	switch n := s.rng.IntN(100); {
	case n < 25:
		s.list(p)
	case n < 55:
		s.query(p, s.randomProcess(), s.rng.IntN(3) == 0)
	case n < 65 && len(s.delayedAnswers) > 0:
		s.handle(p, s.delayedAnswers[s.rng.IntN(len(s.delayedAnswers))])
	case n < 75 && len(s.oldEvents) > 0:
		s.handle(p, document.StoreChanged{Document: s.oldEvents[s.rng.IntN(len(s.oldEvents))]})
	case n < 85:
		s.put()
	case n < 89:
		s.restart()
	case n < 92:
		s.store.setDown(s.rng.IntN(2) == 0)
	case n < 95:
		s.backups = append(s.backups, s.store.backup())
	case n < 98:
		s.restore()
	default:
		s.handle(p, document.SyncerTick{})
	}
	s.recordCommonGeneration()
}

// recordCommonGeneration records the lowest generation among the ready processes when it
// increases.
func (s *simulation) recordCommonGeneration() {
	var lowest uint64
	for _, p := range s.processes {
		if !p.syncer.Ready() {
			continue
		}
		if g := s.generation(p); lowest == 0 || g < lowest {
			lowest = g
		}
	}
	if n := len(s.commonGenerations); lowest > 0 && (n == 0 || lowest > s.commonGenerations[n-1].generation) {
		s.commonGenerations = append(s.commonGenerations, commonGeneration{generation: lowest, at: time.Now()})
	}
}

// checkReady checks that a process does not become ready with a lower generation than one
// that all ready processes have had for longer than MaxAnswerAge, as long as one of them
// still has it.
func (s *simulation) checkReady(p *process, source document.ConfirmationSource) {
	var highest uint64
	for _, q := range s.processes {
		if q != nil && q != p && q.syncer.Ready() {
			highest = max(highest, s.generation(q))
		}
	}
	for i, e := range s.commonGenerations {
		if e.generation > highest {
			s.commonGenerations = s.commonGenerations[:i] // no ready process has it any more
			break
		}
		heldLongEnough := time.Since(e.at) > document.DefaultSyncerConfig(true).MaxAnswerAge
		s.c.Assert(heldLongEnough && s.generation(p) < e.generation, qt.IsFalse, qt.Commentf(
			"seed %d: %s became ready by %s with generation %d after all ready processes had %d",
			s.seed, p.id, source, s.generation(p), e.generation))
		if s.generation(p) < e.generation {
			s.commonGenerations = s.commonGenerations[:i] // not active everywhere for long enough
			break
		}
	}
}

// settle ends all faults and lets all processes exchange their versions.
func (s *simulation) settle() {
	s.store.setDown(false)
	s.store.nextFault = nil
	for range 6 {
		for _, p := range s.processes {
			s.list(p)
			for _, q := range s.processes {
				s.query(p, q, false)
			}
		}
	}
}

// checkConverged checks that all processes and the store have the same version, which is
// not older than the last acknowledged one.
func (s *simulation) checkConverged() {
	stored, _, err := document.Get(context.Background(), s.store, "dispatch")
	s.c.Assert(err, qt.IsNil)
	for _, p := range s.processes {
		s.c.Assert(s.generation(p), qt.Equals, stored.Generation, qt.Commentf("seed %d: %s", s.seed, p.id))
		if stored.Generation > 0 {
			s.c.Assert(p.active.Summaries()[0], qt.Equals, stored.Summary(), qt.Commentf("seed %d: %s", s.seed, p.id))
		}
	}
	s.c.Assert(stored.CreatedAt.Before(s.lastAcknowledged.CreatedAt), qt.IsFalse, qt.Commentf(
		"seed %d: acknowledged generation %d by %s, but generation %d by %s is active at the end",
		s.seed, s.lastAcknowledged.Generation, s.lastAcknowledged.Author, stored.Generation, stored.Author))
}

// Despite outages, restores, restarts and late events, the active generation of a process
// must not decrease, and an older version must not replace an acknowledged one.
func TestSimulationGenerationNeverDecreases(t *testing.T) {
	puts, writeBacks := 0, 0
	for seed := *simulationSeed; seed < *simulationSeed+*simulationRuns; seed++ {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(qt.New(t), seed)
			for range simulationSteps {
				s.step()
			}
			s.settle()
			s.checkConverged()
			puts += s.puts
			writeBacks += s.writeBacks
		})
	}
	t.Logf("%d runs from seed %d: %d puts, %d write-backs", *simulationRuns, *simulationSeed, puts, writeBacks)
}
