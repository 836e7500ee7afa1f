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
	processes  = 4
	fleetSteps = 250
)

// process is one incarnation: its floor is lost with it.
type process struct {
	id      string
	inForce *document.ActiveSet
	feeder  *document.Syncer
	floor   uint64 // highest generation seen in force here
}

// held is a generation that all ready processes held at one time.
type held struct {
	generation uint64
	at         time.Time
}

// fleet is a store, processes around it and operators, in virtual time.
type fleet struct {
	c         *qt.C
	rng       *rand.Rand
	seed      uint64
	store     *fakeStore
	procs     []*process
	backups   []backup
	answers   []document.PeerAnswered  // on their way, perhaps late
	old       []document.StoredVersion // what a watch may deliver again
	acked     document.Version         // the latest that an operator was told success for
	puts      int
	writeBack int
	everyone  []held // what all ready processes held, by time
}

func newFleet(c *qt.C, seed uint64) *fleet {
	f := &fleet{c: c, rng: rand.New(rand.NewPCG(seed, 7)), seed: seed, store: newFakeStore()}
	f.store.next = func() fault {
		if f.rng.IntN(4) > 0 {
			return none
		}
		return fault(1 + f.rng.IntN(3))
	}
	f.procs = make([]*process, processes)
	for i := range processes {
		f.start(i)
	}
	return f
}

func (f *fleet) start(i int) {
	p := &process{id: fmt.Sprint("p", i), inForce: document.NewActiveSet(nil)}
	p.feeder = document.NewSyncer(time.Now(), document.DefaultSyncerConfig(true), p.inForce)
	f.procs[i] = p
	var others []string
	for j := range processes {
		if j != i {
			others = append(others, fmt.Sprint("p", j))
		}
	}
	f.feed(p, document.PeersUpdated{PeerIDs: others})
}

func (f *fleet) generation(p *process) uint64 {
	h, ok := p.inForce.Current("dispatch")
	if !ok {
		return 0
	}
	return h.Version.Generation
}

// feed steps a process and checks it.
func (f *fleet) feed(p *process, event document.SyncerEvent) {
	for _, action := range p.feeder.HandleEvent(time.Now(), event) {
		switch a := action.(type) {
		case document.WriteBack:
			f.repair(a)
		case document.MarkReady:
			f.checkReady(p, a.Source)
		case document.QueryPeers:
			for _, id := range a.PeerIDs {
				f.ask(p, f.procs[int(id[1]-'0')], false)
			}
		}
	}
	g := f.generation(p)
	f.c.Assert(g >= p.floor, qt.IsTrue, qt.Commentf("seed %d: %s went from generation %d back to %d", f.seed, p.id, p.floor, g))
	p.floor = g
}

func (f *fleet) repair(a document.WriteBack) {
	value, err := a.Version.Marshal()
	f.c.Assert(err, qt.IsNil)
	swap := store.Swap{Key: document.StoreKey("dispatch"), Expect: a.Expect, Value: value}
	results, err := f.store.Commit(context.Background(), []store.Swap{swap})
	if err == nil && results[0].Swapped {
		f.writeBack++
	}
}

func (f *fleet) list(p *process) {
	snapshot, err := f.store.List(context.Background(), document.StoreKeyPrefix)
	if err != nil {
		f.feed(p, document.StoreFailed{})
		return
	}
	var l document.StoreListed
	for _, kv := range snapshot.Keys {
		v, err := document.UnmarshalVersion(kv.Value)
		f.c.Assert(err, qt.IsNil)
		l.Documents = append(l.Documents, document.StoredVersion{Version: v, Revision: kv.Mod})
	}
	f.old = append(f.old, l.Documents...)
	f.feed(p, l)
}

// ask lets from answer; the answer arrives now, or joins those on their way.
func (f *fleet) ask(to, from *process, late bool) {
	if from == nil || to == from {
		return
	}
	a := document.PeerAnswered{
		Peer:      from.id,
		QueriedAt: time.Now(),
		Ready:     from.feeder.Ready(),
		Summaries: from.inForce.Summaries(),
		Versions:  from.inForce.NewerThan(to.inForce.Summaries(), 1),
	}
	if late {
		f.answers = append(f.answers, a)
		return
	}
	f.feed(to, a)
}

func (f *fleet) put() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	base, _, err := document.Get(ctx, f.store, "dispatch")
	if err != nil {
		return
	}
	f.puts++
	p := proposal(fmt.Sprint("put", f.puts), base.Generation)
	if f.rng.IntN(2) == 0 { // this operator reaches a process
		p.ActiveGeneration = f.generation(f.pick())
	}
	if v, err := document.Put(ctx, f.store, p); err == nil {
		f.acked = v
	}
}

func (f *fleet) pick() *process {
	return f.procs[f.rng.IntN(processes)]
}
