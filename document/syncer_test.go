package document_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/document"
)

// syncerTest drives a Syncer in virtual time and records its actions.
type syncerTest struct {
	now     time.Time
	active  *document.ActiveSet
	syncer  *document.Syncer
	actions []document.SyncerAction
}

func newSyncerTest(store bool) *syncerTest {
	s := &syncerTest{now: time.Unix(100, 0), active: document.NewActiveSet(nil)}
	s.syncer = document.NewSyncer(s.now, document.DefaultSyncerConfig(store), s.active)
	return s
}

func (s *syncerTest) handle(event document.SyncerEvent) []document.SyncerAction {
	if a, ok := event.(document.PeerAnswered); ok && a.QueriedAt.IsZero() {
		a.QueriedAt = s.now
		event = a
	}
	actions := s.syncer.Step(s.now, event)
	s.actions = append(s.actions, actions...)
	return actions
}

func (s *syncerTest) advance(d time.Duration) {
	const tick = 200 * time.Millisecond
	for ; d > 0; d -= tick {
		s.now = s.now.Add(min(d, tick))
		s.handle(document.SyncerTick{})
	}
}

func peerAnswer(peer string, ready bool, versions ...document.Version) document.PeerAnswered {
	a := document.PeerAnswered{Peer: peer, Ready: ready, Versions: versions}
	for _, v := range versions {
		a.Summaries = append(a.Summaries, v.Summary())
	}
	return a
}

func (s *syncerTest) generation() uint64 {
	active, ok := s.active.Current("dispatch")
	if !ok {
		return 0
	}
	return active.Version.Generation
}

// A process that starts during a store outage must not become ready after a single peer,
// which may have an outdated document.
func TestReadyDuringOutageNeedsSeveralPeers(t *testing.T) {
	c := qt.New(t)
	s := newSyncerTest(true)
	s.handle(document.StoreFailed{})
	s.handle(document.PeersUpdated{PeerIDs: []string{"a", "b", "c"}})
	s.handle(peerAnswer("a", true, version(6, "old")))
	s.advance(10 * time.Second)
	c.Assert(s.syncer.Ready(), qt.IsFalse)
	s.handle(peerAnswer("b", true, version(7, "current")))
	c.Assert(s.syncer.Ready(), qt.IsTrue)
	c.Assert(s.generation(), qt.Equals, uint64(7))
	c.Assert(s.actions[len(s.actions)-1], qt.Equals, document.SyncerAction(document.MarkReady{Source: document.ConfirmedByPeers}))
}

// If all processes start during a store outage, none may become ready from the others.
func TestUnreadyPeersDoNotConfirm(t *testing.T) {
	c := qt.New(t)
	s := newSyncerTest(true)
	s.handle(document.PeersUpdated{PeerIDs: []string{"a", "b"}})
	s.handle(peerAnswer("a", false))
	s.handle(peerAnswer("b", false, version(3, "unconfirmed")))
	s.advance(time.Minute)
	c.Assert(s.syncer.Ready(), qt.IsFalse)
	s.handle(document.StoreListed{})
	s.advance(time.Second)
	c.Assert(s.syncer.Ready(), qt.IsTrue)
}

func TestSinglePeerConfirms(t *testing.T) {
	c := qt.New(t)
	s := newSyncerTest(false)
	s.handle(document.PeersUpdated{PeerIDs: []string{"a"}})
	s.handle(peerAnswer("a", true, version(3, "three")))
	c.Assert(s.syncer.Ready(), qt.IsFalse) // further peers may become known
	s.advance(4 * time.Second)
	c.Assert(s.syncer.Ready(), qt.IsTrue)
}

// An answer to a query of an earlier incarnation may be outdated and must not confirm.
func TestLateAnswerDoesNotConfirm(t *testing.T) {
	c := qt.New(t)
	s := newSyncerTest(false)
	s.handle(document.PeersUpdated{PeerIDs: []string{"a"}})
	late := peerAnswer("a", true, version(3, "three"))
	late.QueriedAt = s.now.Add(-time.Second)
	s.handle(late)
	s.advance(time.Minute)
	c.Assert(s.syncer.Ready(), qt.IsFalse)
	c.Assert(s.generation(), qt.Equals, uint64(3))
}

// A process that was paused after it listed a restored store must not become ready by the
// passage of time alone.
func TestPauseAtStartDoesNotMakeReady(t *testing.T) {
	c := qt.New(t)
	s := newSyncerTest(true)
	s.handle(document.StoreListed{Documents: []document.StoredVersion{{Version: version(5, "five"), Revision: 9}}})
	s.handle(document.PeersUpdated{PeerIDs: []string{"a"}})
	s.now = s.now.Add(time.Hour)
	actions := s.handle(document.SyncerTick{})
	c.Assert(s.syncer.Ready(), qt.IsFalse)
	c.Assert(actions, qt.Contains, document.SyncerAction(document.ListStore{}))
	c.Assert(s.actions, qt.Any(qt.DeepEquals), document.SyncerAction(document.QueryPeers{PeerIDs: []string{"a"}}))
}

// A peer that reports a newer generation without sending its text does not confirm.
func TestAnswerWithoutTextDoesNotConfirm(t *testing.T) {
	c := qt.New(t)
	s := newSyncerTest(false)
	s.handle(document.PeersUpdated{PeerIDs: []string{"a"}})
	empty := peerAnswer("a", true, version(3, "three"))
	empty.Versions = nil
	s.handle(empty)
	s.advance(time.Minute)
	c.Assert(s.syncer.Ready(), qt.IsFalse)
}

// A new process must not become ready from a restored store before a peer has answered.
func TestReadyNeedsPeerBesidesStore(t *testing.T) {
	c := qt.New(t)
	s := newSyncerTest(true)
	s.handle(document.PeersUpdated{PeerIDs: []string{"a"}})
	s.handle(document.StoreListed{Documents: []document.StoredVersion{{Version: version(5, "five"), Revision: 9}}})
	c.Assert(s.syncer.Ready(), qt.IsFalse)
	s.handle(peerAnswer("a", true, version(7, "seven")))
	c.Assert(s.syncer.Ready(), qt.IsTrue)
	c.Assert(s.generation(), qt.Equals, uint64(7))
}

// After a restore, the store gets the active version back. If an operator has put another
// version meanwhile, the later of the two becomes active under a new generation.
func TestRestoredStoreIsRepaired(t *testing.T) {
	held := version(7, "seven")
	versionAt := func(generation uint64, label string, after time.Duration) document.Version {
		shifted := version(generation, label)
		shifted.CreatedAt = held.CreatedAt.Add(after)
		return shifted
	}
	for _, test := range []struct {
		name       string
		stored     document.Version
		author     string // of the active version afterwards
		generation uint64
		writeBack  bool
	}{
		{"store has an ancestor", version(5, "five"), "seven", 7, true},
		{"store is empty", document.Version{}, "seven", 7, true},
		{"put after the restore", versionAt(6, "since", time.Second), "since", 8, true},
		{"put of the same generation after the restore", versionAt(7, "since", time.Second), "since", 8, true},
		{"earlier version of the same generation", versionAt(7, "before", -time.Second), "seven", 8, true},
		{"earlier version of a higher generation", versionAt(9, "before", -time.Second), "seven", 10, true},
		{"store has the same version", held, "seven", 7, false},
		{"store has a successor", version(8, "eight"), "eight", 8, false},
		{"store has an unknown format", unknownKeyVersion(9), "seven", 7, false},
		{"store has an unknown format of the same generation", unknownKeyVersion(7), "seven", 7, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newSyncerTest(true)
			s.active.Update(s.now, held)
			s.advance(time.Second)
			var listed document.StoreListed
			if test.stored.Generation > 0 {
				listed.Documents = []document.StoredVersion{{Version: test.stored, Revision: 4}}
			}
			actions := s.handle(listed)
			active, _ := s.active.Current("dispatch")
			c.Assert(active.Version.Author, qt.Equals, test.author)
			c.Assert(active.Document.Owner, qt.Equals, test.author)
			c.Assert(active.Version.Generation, qt.Equals, test.generation)
			if !test.writeBack {
				c.Assert(actions, qt.HasLen, 0)
				return
			}
			c.Assert(actions, qt.HasLen, 1)
			c.Assert(actions[0].(document.WriteBack).Version, qt.DeepEquals, active.Version)
		})
	}
}

// A restored store reuses revisions, so writing back on the revision of an old event could
// overwrite a newer write.
func TestWatchEventsDoNotWriteBack(t *testing.T) {
	for _, event := range []document.SyncerEvent{
		document.StoreChanged{Document: document.StoredVersion{Version: version(5, "five"), Revision: 4}},
		document.StoreDeleted{Service: "dispatch"},
	} {
		c := qt.New(t)
		s := newSyncerTest(true)
		s.handle(document.StoreListed{Documents: []document.StoredVersion{{Version: version(7, "seven"), Revision: 9}}})
		s.now = s.now.Add(time.Second)
		c.Assert(s.handle(event), qt.DeepEquals, []document.SyncerAction{document.ListStore{}})
	}
}

// A value that this binary cannot decode may be of a newer one, and must not be treated as
// missing.
func TestUnreadableDocumentIsNotOverwritten(t *testing.T) {
	c := qt.New(t)
	s := newSyncerTest(true)
	s.active.Update(s.now, version(7, "seven"))
	c.Assert(s.handle(document.StoreListed{Unreadable: []string{"dispatch"}}), qt.HasLen, 0)
}

func TestStoreIsListedPeriodically(t *testing.T) {
	c := qt.New(t)
	s := newSyncerTest(true)
	s.handle(document.StoreListed{})
	s.advance(11 * time.Second)
	c.Assert(s.actions, qt.Contains, document.SyncerAction(document.ListStore{}))
}
