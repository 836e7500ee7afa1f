package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const second = time.Second

// The store serves nobody. The planner's lease has lapsed, and it goes on granting only
// while each of the others says so itself, and lately.
func TestAllUnservedNeedsFreshStatusOfEveryPeer(t *testing.T) {
	c := qt.New(t)
	o := newStoreStatus(0)
	others := []string{"b", "c"}
	c.Check(o.allUnserved(second, others), qt.IsFalse, qt.Commentf("nobody was asked"))
	o.observePeer(second, "b", false, false)
	c.Check(o.allUnserved(second, others), qt.IsFalse, qt.Commentf("one was not"))
	o.observePeer(second, "c", false, false)
	c.Check(o.allUnserved(second, others), qt.IsTrue)
	o.observePeer(2*second, "b", true, false)
	c.Check(o.allUnserved(2*second, others), qt.IsFalse, qt.Commentf("one is served again"))
	o.observePeer(3*second, "b", false, false)
	c.Check(o.allUnserved(3*second, others), qt.IsFalse, qt.Commentf("the other's word is old"))
	c.Check(o.allUnserved(3*second, nil), qt.IsTrue, qt.Commentf("there is nobody else"))
}

// A gateway takes the planner's duty over. Only one that was in touch with the former
// planner, and was served by the store all the while, knows that nothing was granted
// beyond that planner's lease.
func TestPredecessorExtension(t *testing.T) {
	const now = 60 * second
	tests := []struct {
		what      string
		began     time.Duration
		gap       time.Duration
		planner   time.Duration
		inherited time.Duration
	}{
		{"in touch and served", 0, 0, now - second, 0},
		{"just started", now - 2*second, 0, now - second, maxGrantExtension},
		{"not served lately", 0, now - 4*second, now - second, maxGrantExtension},
		{"never in touch with the planner", 0, 0, 0, maxGrantExtension},
		{"long out of touch", 0, 0, now - 30*second, maxGrantExtension},
	}
	for _, test := range tests {
		o := newStoreStatus(test.began)
		if test.gap != 0 {
			o.observeSelf(test.gap, 2*second)
		}
		if test.planner != 0 {
			o.observePeer(test.planner, "p", true, true)
		}
		qt.Check(t, o.predecessorExtension(now), qt.Equals, test.inherited, qt.Commentf("%s", test.what))
	}
}

// A gateway without the store works through others, but not through one that has just
// said that it is not served either.
func TestPeerUnservedStatusExpires(t *testing.T) {
	c := qt.New(t)
	o := newStoreStatus(0)
	c.Check(o.peerUnserved(second, "b"), qt.IsFalse)
	o.observePeer(second, "b", false, false)
	c.Check(o.peerUnserved(second, "b"), qt.IsTrue)
	c.Check(o.peerUnserved(3*second, "b"), qt.IsFalse, qt.Commentf("it may be served again"))
	o.observePeer(4*second, "b", true, false)
	c.Check(o.peerUnserved(4*second, "b"), qt.IsFalse)
}
