package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const second = time.Second

// A planner whose lease has expired may extend grants only while each of the others has
// recently reported that the store does not serve it.
func TestAllUnservedNeedsFreshStatusOfEveryPeer(t *testing.T) {
	c := qt.New(t)
	s := newStoreStatus(0)
	others := []string{"b", "c"}
	c.Check(s.allUnserved(second, others), qt.IsFalse, qt.Commentf("no peer has reported"))
	s.observePeer(second, "b", false, 0)
	c.Check(s.allUnserved(second, others), qt.IsFalse, qt.Commentf("one peer has not reported"))
	s.observePeer(second, "c", false, 0)
	c.Check(s.allUnserved(second, others), qt.IsTrue)
	s.observePeer(2*second, "b", true, 0)
	c.Check(s.allUnserved(2*second, others), qt.IsFalse, qt.Commentf("the store serves one peer again"))
	s.observePeer(3*second, "b", false, 0)
	c.Check(s.allUnserved(3*second, others), qt.IsFalse, qt.Commentf("the other peer's report is stale"))
	c.Check(s.allUnserved(3*second, nil), qt.IsTrue, qt.Commentf("there are no peers"))
}

// Only a gateway that was in contact with the former planner, and was served by the store all
// the time, may assume that nothing was granted beyond that planner's lease.
func TestPredecessorExtension(t *testing.T) {
	const now = 60 * second
	tests := []struct {
		what       string
		startedAt  time.Duration
		unservedAt time.Duration
		answeredAt time.Duration
		extension  time.Duration
	}{
		{"in contact and served", 0, 0, now - second, 0},
		{"just started", now - 2*second, 0, now - second, maxGrantExtension},
		{"recently not served", 0, now - 4*second, now - second, maxGrantExtension},
		{"never in contact with the planner", 0, 0, 0, maxGrantExtension},
		{"contact long ago", 0, 0, now - 30*second, maxGrantExtension},
	}
	for _, test := range tests {
		s := newStoreStatus(test.startedAt)
		if test.unservedAt != 0 {
			s.observeSelf(test.unservedAt, 2*second)
		}
		if test.answeredAt != 0 {
			s.observePlanner(test.answeredAt, 4)
		}
		qt.Check(t, s.predecessorExtension(now, 4), qt.Equals, test.extension, qt.Commentf("%s", test.what))
	}
}

// Calls are not relayed through a peer that has recently reported that the store does not serve
// it.
func TestPeerUnservedStatusExpires(t *testing.T) {
	c := qt.New(t)
	s := newStoreStatus(0)
	c.Check(s.peerUnserved(second, "b"), qt.IsFalse)
	s.observePeer(second, "b", false, 0)
	c.Check(s.peerUnserved(second, "b"), qt.IsTrue)
	c.Check(s.peerUnserved(3*second, "b"), qt.IsFalse, qt.Commentf("the report is stale"))
	s.observePeer(4*second, "b", true, 0)
	c.Check(s.peerUnserved(4*second, "b"), qt.IsFalse)
}

// A planner that took over a moment ago may not know of this gateway yet. Contact with its
// predecessor does not show that it has not extended its grants.
func TestContactWithEarlierPlannerProvesNothing(t *testing.T) {
	const now = 60 * second
	s := newStoreStatus(0)
	s.observePlanner(now-second, 4)
	qt.Assert(t, s.predecessorExtension(now, 4), qt.Equals, time.Duration(0))
	qt.Check(t, s.predecessorExtension(now, 5), qt.Equals, maxGrantExtension)
}

// The planner counts a gateway as live for memberTTL. A successor whose last contact is older may
// have been forgotten when the planner extended its grants.
func TestContactEndsBeforePlannerForgets(t *testing.T) {
	const now = 60 * second
	s := newStoreStatus(0)
	s.observePlanner(now-memberTTL+second, 4)
	qt.Check(t, s.predecessorExtension(now, 4), qt.Equals, maxGrantExtension)
}

// A planner that was suspended handles the queries that arrived meanwhile. They tell what was so
// before, not that the store serves nobody now.
func TestQueriesDoNotProveThatPeersAreUnserved(t *testing.T) {
	c := qt.New(t)
	s := newStoreStatus(0)
	s.observeQuery(second, "b", false)
	c.Check(s.allUnserved(second, []string{"b"}), qt.IsFalse)
	c.Check(s.peerUnserved(second, "b"), qt.IsTrue, qt.Commentf("calls are relayed elsewhere"))
	s.observePeer(2*second, "b", false, 0)
	c.Check(s.allUnserved(2*second, []string{"b"}), qt.IsTrue)
	s.observeQuery(2*second, "b", true)
	c.Check(s.allUnserved(2*second, []string{"b"}), qt.IsFalse, qt.Commentf("the store serves it again"))
}

// Replies of one peer can overtake each other. An older one must not make a planner extend its grants
// although the peer has replied since that the store serves it.
func TestOlderReplyDoesNotReplaceNewerStatus(t *testing.T) {
	c := qt.New(t)
	s := newStoreStatus(0)
	s.observePeer(2*second, "b", true, 0)
	s.observePeer(2*second-second/2, "b", false, 0)
	c.Check(s.allUnserved(2*second, []string{"b"}), qt.IsFalse)
	c.Check(s.peerUnserved(2*second, "b"), qt.IsFalse)
}

// An older reply of the planner must not shorten the time of contact: its successor would wait for an
// extension of grants that it can rule out.
func TestOlderReplyDoesNotShortenContact(t *testing.T) {
	const now = 60 * second
	s := newStoreStatus(0)
	s.observePlanner(now-second, 4)
	s.observePlanner(now-memberTTL, 4)
	qt.Check(t, s.predecessorExtension(now, 4), qt.Equals, time.Duration(0))
}
