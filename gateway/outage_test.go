package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const second = time.Second

// The store serves nobody. The planner's lease has lapsed, and it goes on granting only
// while each of the others says so itself, and lately.
func TestOutageIsGeneralByEverybodysWord(t *testing.T) {
	c := qt.New(t)
	o := newOutage(0)
	others := []string{"b", "c"}
	c.Check(o.general(second, others), qt.IsFalse, qt.Commentf("nobody was asked"))
	o.heard(second, "b", false, false)
	c.Check(o.general(second, others), qt.IsFalse, qt.Commentf("one was not"))
	o.heard(second, "c", false, false)
	c.Check(o.general(second, others), qt.IsTrue)
	o.heard(2*second, "b", true, false)
	c.Check(o.general(2*second, others), qt.IsFalse, qt.Commentf("one is served again"))
	o.heard(3*second, "b", false, false)
	c.Check(o.general(3*second, others), qt.IsFalse, qt.Commentf("the other's word is old"))
	c.Check(o.general(3*second, nil), qt.IsTrue, qt.Commentf("there is nobody else"))
}

// A gateway takes the planner's duty over. Only one that was in touch with the former
// planner, and was served by the store all the while, knows that nothing was granted
// beyond that planner's lease.
func TestSuccessorCountsWhatMayHaveBeenGranted(t *testing.T) {
	const now = 60 * second
	tests := []struct {
		what      string
		began     time.Duration
		gap       time.Duration
		planner   time.Duration
		inherited time.Duration
	}{
		{"in touch and served", 0, 0, now - second, 0},
		{"just started", now - 2*second, 0, now - second, extendMost},
		{"not served lately", 0, now - 4*second, now - second, extendMost},
		{"never in touch with the planner", 0, 0, 0, extendMost},
		{"long out of touch", 0, 0, now - 30*second, extendMost},
	}
	for _, test := range tests {
		o := newOutage(test.began)
		if test.gap != 0 {
			o.sample(test.gap, 2*second)
		}
		if test.planner != 0 {
			o.heard(test.planner, "p", true, true)
		}
		qt.Check(t, o.inherited(now), qt.Equals, test.inherited, qt.Commentf("%s", test.what))
	}
}

// A gateway without the store works through others, but not through one that has just
// said that it is not served either.
func TestUnservedGatewaysAreNotAsked(t *testing.T) {
	c := qt.New(t)
	o := newOutage(0)
	c.Check(o.unserved(second, "b"), qt.IsFalse)
	o.heard(second, "b", false, false)
	c.Check(o.unserved(second, "b"), qt.IsTrue)
	c.Check(o.unserved(3*second, "b"), qt.IsFalse, qt.Commentf("it may be served again"))
	o.heard(4*second, "b", true, false)
	c.Check(o.unserved(4*second, "b"), qt.IsFalse)
}
