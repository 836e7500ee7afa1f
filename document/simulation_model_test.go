package document_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/store"
)

const (
	processCount    = 4
	simulationSteps = 250
)

// process is one incarnation: its floor is lost with it.
type process struct {
	id      string
	active  *document.ActiveSet
	syncer  *document.Syncer
	highest uint64 // highest generation seen in force here
}

// commonGeneration is a generation that all ready processes commonGeneration at one time.
type commonGeneration struct {
	generation uint64
	at         time.Time
}

// simulation is a store, processes around it and operators, in virtual time.
type simulation struct {
	c                 *qt.C
	rng               *rand.Rand
	seed              uint64
	store             *fakeStore
	processes         []*process
	backups           []storeBackup
	delayedAnswers    []document.PeerAnswered  // on their way, perhaps late
	oldEvents         []document.StoredVersion // what a watch may deliver again
	lastAcknowledged  document.Version         // the latest that an operator was told success for
	puts              int
	writeBacks        int
	commonGenerations []commonGeneration // what all ready processes held, by time
}

func newSimulation(c *qt.C, seed uint64) *simulation {
	f := &simulation{c: c, rng: rand.New(rand.NewPCG(seed, 7)), seed: seed, store: newFakeStore()}
	f.store.nextFault = func() swapFault {
		if f.rng.IntN(4) > 0 {
			return noFault
		}
		return swapFault(1 + f.rng.IntN(3))
	}
	f.processes = make([]*process, processCount)
	for i := range processCount {
		f.start(i)
	}
	return f
}

func (f *simulation) start(i int) {
	p := &process{id: fmt.Sprint("p", i), active: document.NewActiveSet(nil)}
	p.syncer = document.NewSyncer(time.Now(), document.DefaultSyncerConfig(true), p.active)
	f.processes[i] = p
	var others []string
	for j := range processCount {
		if j != i {
			others = append(others, fmt.Sprint("p", j))
		}
	}
	f.handle(p, document.PeersUpdated{PeerIDs: others})
}

func (f *simulation) generation(p *process) uint64 {
	h, ok := p.active.Current("dispatch")
	if !ok {
		return 0
	}
	return h.Version.Generation
}

// handle steps a process and checks it.
func (f *simulation) handle(p *process, event document.SyncerEvent) {
	for _, action := range p.syncer.HandleEvent(time.Now(), event) {
		switch a := action.(type) {
		case document.WriteBack:
			f.writeBack(a)
		case document.MarkReady:
			f.checkReady(p, a.Source)
		case document.QueryPeers:
			for _, id := range a.PeerIDs {
				f.query(p, f.processes[int(id[1]-'0')], false)
			}
		}
	}
	g := f.generation(p)
	f.c.Assert(g >= p.highest, qt.IsTrue, qt.Commentf("seed %d: %s went from generation %d back to %d", f.seed, p.id, p.highest, g))
	p.highest = g
}

func (f *simulation) writeBack(a document.WriteBack) {
	value, err := a.Version.Marshal()
	f.c.Assert(err, qt.IsNil)
	swap := store.Swap{Key: document.StoreKey("dispatch"), Expect: a.Expect, Value: value}
	results, err := f.store.Commit(context.Background(), []store.Swap{swap})
	if err == nil && results[0].Swapped {
		f.writeBacks++
	}
}

func (f *simulation) list(p *process) {
	snapshot, err := f.store.List(context.Background(), document.StoreKeyPrefix)
	if err != nil {
		f.handle(p, document.StoreFailed{})
		return
	}
	var l document.StoreListed
	for _, kv := range snapshot.Keys {
		v, err := document.UnmarshalVersion(kv.Value)
		f.c.Assert(err, qt.IsNil)
		l.Documents = append(l.Documents, document.StoredVersion{Version: v, Revision: kv.Mod})
	}
	f.oldEvents = append(f.oldEvents, l.Documents...)
	f.handle(p, l)
}

// query lets from answer; the answer arrives now, or joins those on their way.
func (f *simulation) query(to, from *process, late bool) {
	if from == nil || to == from {
		return
	}
	a := document.PeerAnswered{
		Peer:      from.id,
		QueriedAt: time.Now(),
		Ready:     from.syncer.Ready(),
		Summaries: from.active.Summaries(),
		Versions:  from.active.NewerThan(to.active.Summaries(), 1),
	}
	if late {
		f.delayedAnswers = append(f.delayedAnswers, a)
		return
	}
	f.handle(to, a)
}

func (f *simulation) put() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	base, _, err := document.Get(ctx, f.store, "dispatch")
	if err != nil {
		return
	}
	f.puts++
	p := proposal(fmt.Sprint("put", f.puts), base.Generation)
	if f.rng.IntN(2) == 0 { // this operator reaches a process
		p.ActiveGeneration = f.generation(f.randomProcess())
	}
	if v, err := document.Put(ctx, f.store, p); err == nil {
		f.lastAcknowledged = v
	}
}

func (f *simulation) randomProcess() *process {
	return f.processes[f.rng.IntN(processCount)]
}
