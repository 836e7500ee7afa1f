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

// process is one incarnation of a process.
type process struct {
	id      string
	active  *document.ActiveSet
	syncer  *document.Syncer
	highest uint64 // highest generation that was active
}

// commonGeneration is a generation that all ready processes had reached at a time.
type commonGeneration struct {
	generation uint64
	at         time.Time
}

// simulation is a store, the processes that use it and operators, in virtual time.
type simulation struct {
	c                 *qt.C
	rng               *rand.Rand
	seed              uint64
	store             *fakeStore
	processes         []*process
	backups           []storeBackup
	delayedAnswers    []document.PeerAnswered  // answers to be delivered late, perhaps repeatedly
	oldEvents         []document.StoredVersion // documents that a watch may deliver again
	lastAcknowledged  document.Version         // the latest version whose put succeeded
	puts              int
	writeBacks        int
	commonGenerations []commonGeneration // in increasing order
}

func newSimulation(c *qt.C, seed uint64) *simulation {
	s := &simulation{c: c, rng: rand.New(rand.NewPCG(seed, 7)), seed: seed, store: newFakeStore()}
	s.store.nextFault = func() swapFault {
		if s.rng.IntN(4) > 0 {
			return noFault
		}
		return swapFault(1 + s.rng.IntN(3))
	}
	s.processes = make([]*process, processCount)
	for i := range processCount {
		s.start(i)
	}
	return s
}

func (s *simulation) start(i int) {
	p := &process{id: fmt.Sprint("p", i), active: document.NewActiveSet(nil)}
	p.syncer = document.NewSyncer(time.Now(), document.DefaultSyncerConfig(true), p.active)
	s.processes[i] = p
	var others []string
	for j := range processCount {
		if j != i {
			others = append(others, fmt.Sprint("p", j))
		}
	}
	s.handle(p, document.PeersUpdated{PeerIDs: others})
}

func (s *simulation) generation(p *process) uint64 {
	active, ok := p.active.Current("dispatch")
	if !ok {
		return 0
	}
	return active.Version.Generation
}

// handle passes an event to a process, performs the actions, and checks that the
// generation has not decreased.
func (s *simulation) handle(p *process, event document.SyncerEvent) {
	for _, action := range p.syncer.Step(time.Now(), event) {
		switch a := action.(type) {
		case document.WriteBack:
			s.writeBack(a)
		case document.MarkReady:
			s.checkReady(p, a.Source)
		case document.QueryPeers:
			for _, id := range a.PeerIDs {
				s.query(p, s.processes[int(id[1]-'0')], false)
			}
		}
	}
	g := s.generation(p)
	s.c.Assert(g >= p.highest, qt.IsTrue, qt.Commentf("seed %d: generation of %s decreased from %d to %d", s.seed, p.id, p.highest, g))
	p.highest = g
}

func (s *simulation) writeBack(a document.WriteBack) {
	value, err := a.Version.Marshal()
	s.c.Assert(err, qt.IsNil)
	swap := store.Swap{Key: document.StoreKey("dispatch"), Expect: a.Expect, Value: value}
	results, err := s.store.Commit(context.Background(), []store.Swap{swap})
	if err == nil && results[0].Swapped {
		s.writeBacks++
	}
}

func (s *simulation) list(p *process) {
	snapshot, err := s.store.List(context.Background(), document.StoreKeyPrefix)
	if err != nil {
		s.handle(p, document.StoreFailed{})
		return
	}
	var listed document.StoreListed
	for _, kv := range snapshot.Keys {
		v, err := document.UnmarshalVersion(kv.Value)
		s.c.Assert(err, qt.IsNil)
		listed.Documents = append(listed.Documents, document.StoredVersion{Version: v, Revision: kv.Mod})
	}
	s.oldEvents = append(s.oldEvents, listed.Documents...)
	s.handle(p, listed)
}

// query delivers the answer of process from to process to, or keeps it for late delivery.
func (s *simulation) query(to, from *process, late bool) {
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
		s.delayedAnswers = append(s.delayedAnswers, a)
		return
	}
	s.handle(to, a)
}

func (s *simulation) put() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	base, _, err := document.Get(ctx, s.store, "dispatch")
	if err != nil {
		return
	}
	s.puts++
	p := proposal(fmt.Sprint("put", s.puts), base.Generation)
	if s.rng.IntN(2) == 0 { // the operator can query a process
		p.ActiveGeneration = s.generation(s.randomProcess())
	}
	if v, err := document.Put(ctx, s.store, p); err == nil {
		s.lastAcknowledged = v
	}
}

func (s *simulation) randomProcess() *process {
	return s.processes[s.rng.IntN(processCount)]
}
