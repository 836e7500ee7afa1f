package document_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/document"
)

// script drives one fresh Feeder in virtual time and keeps its actions.
type script struct {
	now     time.Time
	inForce *document.InForce
	feeder  *document.Feeder
	actions []document.FeederAction
}

func newScript(store bool) *script {
	s := &script{now: time.Unix(100, 0), inForce: document.NewInForce(nil)}
	s.feeder = document.NewFeeder(s.now, document.DefaultFeederConfig(store), s.inForce)
	return s
}

func (s *script) step(event document.FeederEvent) []document.FeederAction {
	actions := s.feeder.Step(s.now, event)
	s.actions = append(s.actions, actions...)
	return actions
}

func (s *script) wait(d time.Duration) {
	s.now = s.now.Add(d)
	s.step(document.FeederTick{})
}

func answer(peer string, ready bool, versions ...document.Version) document.PeerAnswered {
	a := document.PeerAnswered{Peer: peer, Ready: ready, Versions: versions}
	for _, v := range versions {
		a.Generations = append(a.Generations, v.Summary())
	}
	return a
}

func (s *script) generation() uint64 {
	h, ok := s.inForce.Current("dispatch")
	if !ok {
		return 0
	}
	return h.Version.Generation
}

// A process starts while the store is out. The first peer to answer has an old
// copy, the second the current one. Ready after the first, it would serve with
// a configuration that everyone else has left behind.
func TestFreshProcessDuringOutageAsksSeveralPeers(t *testing.T) {
	c := qt.New(t)
	s := newScript(true)
	s.step(document.StoreFailed{})
	s.step(document.PeersKnown{IDs: []string{"a", "b", "c"}})
	s.step(answer("a", true, version(6, "old")))
	s.wait(10 * time.Second)
	c.Assert(s.feeder.Ready(), qt.IsFalse)
	s.step(answer("b", true, version(7, "current")))
	c.Assert(s.feeder.Ready(), qt.IsTrue)
	c.Assert(s.generation(), qt.Equals, uint64(7))
	c.Assert(s.actions[len(s.actions)-1], qt.Equals, document.FeederAction(document.BecomeReady{Source: document.FromPeers}))
}

// All processes start at once while the store is out. Each asks the others,
// who know nothing: none may become ready.
func TestFreshPeersConfirmNothing(t *testing.T) {
	c := qt.New(t)
	s := newScript(true)
	s.step(document.PeersKnown{IDs: []string{"a", "b"}})
	s.step(answer("a", false))
	s.step(answer("b", false, version(3, "unconfirmed")))
	s.wait(time.Minute)
	c.Assert(s.feeder.Ready(), qt.IsFalse)
	s.step(document.StoreListed{})
	c.Assert(s.feeder.Ready(), qt.IsTrue)
}

func TestOnlyPeerIsEnoughWhereNoOtherIsKnown(t *testing.T) {
	c := qt.New(t)
	s := newScript(false)
	s.step(document.PeersKnown{IDs: []string{"a"}})
	s.step(answer("a", true, version(3, "three")))
	c.Assert(s.feeder.Ready(), qt.IsFalse) // others may become known yet
	s.wait(2 * time.Second)
	c.Assert(s.feeder.Ready(), qt.IsTrue)
}

// A peer announces a generation but its text does not fit into the answer, or
// got lost. It has not confirmed what we hold.
func TestAnswerWithoutItsTextDoesNotConfirm(t *testing.T) {
	c := qt.New(t)
	s := newScript(false)
	s.step(document.PeersKnown{IDs: []string{"a"}})
	empty := answer("a", true, version(3, "three"))
	empty.Versions = nil
	s.step(empty)
	s.wait(time.Minute)
	c.Assert(s.feeder.Ready(), qt.IsFalse)
}

// A fresh process reads a store that was restored from a backup, a moment
// before a peer tells it the current generation.
func TestFreshProcessWaitsForPeerBesidesStore(t *testing.T) {
	c := qt.New(t)
	s := newScript(true)
	s.step(document.PeersKnown{IDs: []string{"a"}})
	s.step(document.StoreListed{Documents: []document.Stored{{Version: version(5, "five"), Revision: 9}}})
	c.Assert(s.feeder.Ready(), qt.IsFalse)
	s.step(answer("a", true, version(7, "seven")))
	c.Assert(s.feeder.Ready(), qt.IsTrue)
	c.Assert(s.generation(), qt.Equals, uint64(7))
}

// The store is restored from a backup. It lists an older generation than the
// one in force, or none, and must get back what is in force.
func TestRestoredStoreIsRepaired(t *testing.T) {
	held := version(7, "seven")
	sameGeneration := version(7, "earlier")
	sameGeneration.At = held.At.Add(-time.Second)
	later := version(6, "later") // put after the restore, before the repair
	later.At = held.At.Add(time.Second)
	above := func(v document.Version, replaces document.Version) document.Version {
		v.Generation, v.Replaces = 8, replaces.Token
		return v
	}
	for _, test := range []struct {
		story  string
		stored document.Version
		want   document.Version
	}{
		{"it holds an ancestor", version(5, "five"), held},
		{"it holds nothing", document.Version{Service: "dispatch"}, held},
		{"an operator put to it since", later, above(later, held)},
		{"its generation has an earlier text", sameGeneration, above(held, sameGeneration)},
		{"it holds the same", held, document.Version{}},
		{"it holds a newer format", newerFormat(9), document.Version{}},
	} {
		t.Run(test.story, func(t *testing.T) {
			c := qt.New(t)
			s := newScript(true)
			s.inForce.Offer(s.now, held)
			var event document.FeederEvent = document.StoreChanged{Document: document.Stored{Version: test.stored, Revision: 4}}
			if test.stored.Generation == 0 {
				event = document.StoreDeleted{Service: "dispatch"}
			}
			actions := s.step(event)
			if test.want.Generation == 0 {
				c.Assert(actions, qt.HasLen, 0)
				return
			}
			c.Assert(actions, qt.HasLen, 1)
			c.Assert(actions[0].(document.WriteBack).Version, qt.DeepEquals, test.want)
			c.Assert(s.generation(), qt.Equals, uint64(7))
		})
	}
}

// A stored value that this binary cannot read may be of a newer one. It must
// not be taken for a missing document and written over.
func TestUnreadableDocumentIsLeftAlone(t *testing.T) {
	c := qt.New(t)
	s := newScript(true)
	s.inForce.Offer(s.now, version(7, "seven"))
	s.wait(2 * time.Second)
	c.Assert(s.step(document.StoreListed{Unreadable: []string{"dispatch"}}), qt.DeepEquals,
		[]document.FeederAction{document.BecomeReady{Source: document.FromStore}})
}

func TestStoreIsListedAgain(t *testing.T) {
	c := qt.New(t)
	s := newScript(true)
	s.step(document.StoreListed{})
	s.wait(11 * time.Second)
	c.Assert(s.actions, qt.Contains, document.FeederAction(document.ListStore{}))
}
