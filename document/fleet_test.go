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
	fleetRuns = flag.Uint64("fleet.runs", 150, "seeded runs of the fleet")
	fleetSeed = flag.Uint64("fleet.seed", 1, "first seed of the fleet")
)

// holders counts the places that hold the latest acknowledged version or what
// followed it. No design survives the loss of the last.
func (f *fleet) holders(in backup, without int) int {
	n := 0
	for i, p := range f.procs {
		h, ok := p.inForce.Current("dispatch")
		if ok && i != without && !h.Version.CreatedAt.Before(f.acked.CreatedAt) {
			n++
		}
	}
	if kv, ok := in.keys[document.StoreKey("dispatch")]; ok {
		v, err := document.UnmarshalVersion(kv.Value)
		f.c.Assert(err, qt.IsNil)
		if !v.CreatedAt.Before(f.acked.CreatedAt) {
			n++
		}
	}
	return n
}

func (f *fleet) restart() {
	i := f.rng.IntN(processes)
	if f.acked.Generation == 0 || f.holders(f.store.backup(), i) > 0 {
		f.start(i)
	}
}

func (f *fleet) restore() {
	if len(f.backups) == 0 {
		return
	}
	b := f.backups[f.rng.IntN(len(f.backups))]
	if f.acked.Generation == 0 || f.holders(b, -1) > 0 {
		f.store.restore(b)
	}
}

// step does one thing at random.
func (f *fleet) step() {
	time.Sleep(time.Duration(1+f.rng.IntN(100)) * time.Millisecond)
	p := f.pick()
	switch n := f.rng.IntN(100); {
	case n < 25:
		f.list(p)
	case n < 55:
		f.ask(p, f.pick(), f.rng.IntN(3) == 0)
	case n < 65 && len(f.answers) > 0:
		f.feed(p, f.answers[f.rng.IntN(len(f.answers))])
	case n < 75 && len(f.old) > 0:
		f.feed(p, document.StoreChanged{Document: f.old[f.rng.IntN(len(f.old))]})
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
		f.feed(p, document.SyncerTick{})
	}
	f.noteEveryone()
}

// noteEveryone notes what all ready processes hold, where any is ready.
func (f *fleet) noteEveryone() {
	var lowest uint64
	for _, p := range f.procs {
		if !p.feeder.Ready() {
			continue
		}
		if g := f.generation(p); lowest == 0 || g < lowest {
			lowest = g
		}
	}
	if n := len(f.everyone); lowest > 0 && (n == 0 || lowest > f.everyone[n-1].generation) {
		f.everyone = append(f.everyone, held{generation: lowest, at: time.Now()})
	}
}

// checkReady: seconds after all ready processes have a generation, and while
// one of them lives, no process becomes ready with a lower one.
func (f *fleet) checkReady(p *process, source document.ConfirmationSource) {
	var highest uint64
	for _, q := range f.procs {
		if q != nil && q != p && q.feeder.Ready() {
			highest = max(highest, f.generation(q))
		}
	}
	for i, e := range f.everyone {
		if e.generation > highest {
			f.everyone = f.everyone[:i] // nobody is left who could tell
			break
		}
		settled := time.Since(e.at) > document.DefaultSyncerConfig(true).MaxAnswerAge
		f.c.Assert(settled && f.generation(p) < e.generation, qt.IsFalse, qt.Commentf(
			"seed %d: %s became ready from %s with generation %d after all had held %d",
			f.seed, p.id, source, f.generation(p), e.generation))
		if f.generation(p) < e.generation {
			f.everyone = f.everyone[:i] // not held by all long enough
			break
		}
	}
}

// heal ends all faults and lets everyone talk.
func (f *fleet) heal() {
	f.store.setDown(false)
	f.store.next = nil
	for range 6 {
		for _, p := range f.procs {
			f.list(p)
			for _, q := range f.procs {
				f.ask(p, q, false)
			}
		}
	}
}

func (f *fleet) checkHealed() {
	stored, _, err := document.Get(context.Background(), f.store, "dispatch")
	f.c.Assert(err, qt.IsNil)
	for _, p := range f.procs {
		f.c.Assert(f.generation(p), qt.Equals, stored.Generation, qt.Commentf("seed %d: %s", f.seed, p.id))
		if stored.Generation > 0 {
			f.c.Assert(p.inForce.Summaries()[0], qt.Equals, stored.Summary(), qt.Commentf("seed %d: %s", f.seed, p.id))
		}
	}
	f.c.Assert(stored.CreatedAt.Before(f.acked.CreatedAt), qt.IsFalse, qt.Commentf(
		"seed %d: acknowledged generation %d by %s, in force at the end %d by %s",
		f.seed, f.acked.Generation, f.acked.Author, stored.Generation, stored.Author))
}

// Operators put while replies are lost, processes restart with nothing, the
// store goes out and is restored from old backups, watches deliver old events
// and peers answer late. On no process may the generation in force decrease,
// and what an operator was told success for must not give way to anything
// accepted before it.
func TestFleetNeverGoesBack(t *testing.T) {
	puts, writeBacks := 0, 0
	for seed := *fleetSeed; seed < *fleetSeed+*fleetRuns; seed++ {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(qt.New(t), seed)
			for range fleetSteps {
				f.step()
			}
			f.heal()
			f.checkHealed()
			puts += f.puts
			writeBacks += f.writeBack
		})
	}
	t.Logf("%d runs from seed %d: %d puts, %d write backs", *fleetRuns, *fleetSeed, puts, writeBacks)
}
