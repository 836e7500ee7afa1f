package gateway

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/link"
)

// newFrozenTerm returns a term of a gateway without peers or a store whose lease expired some time ago, but
// that notices it only now.
func newFrozenTerm(expiredFor time.Duration) *term {
	g := &Gateway{peering: newPeering("self", nil, lease.BootTime, func() uint64 { return 0 })}
	g.cfg.SinceStoreReply = func() time.Duration { return time.Minute }
	t := &term{g: g, epoch: 4}
	t.loaded.Store(true)
	t.noteLease(lease.Leadership{Epoch: 4, ValidUntil: lease.BootTime() - expiredFor})
	t.freeze()
	return t
}

// Guards against a task that runs twice because a planner that was suspended counts the extension of its
// grants from when it resumes.
func TestExtensionEndsBySuspension(t *testing.T) {
	c := qt.New(t)
	c.Check(newFrozenTerm(time.Second).extendingGrants(), qt.IsTrue)
	c.Check(newFrozenTerm(maxGrantExtension).extendingGrants(), qt.IsFalse)
}

// Guards against a bound of the grants of earlier planners that does not reach the engine, or that of another term.
func TestTermGetsBoundOfEarlierGrants(t *testing.T) {
	c := qt.New(t)
	p, now := newServedPeering("self")
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := &Gateway{peering: p, log: log}
	g.onEarlierGrants = g.lowerExtension
	p.learnPlanner(6, "self")
	g.term = &term{g: g, log: log, epoch: 6, startedAt: *now, inbox: make(chan func(time.Duration), 1), engine: engine.New(engine.Params{}, 6, *now, maxEarlierGrants)}
	p.mergeReply("b", &link.PeerReply{Epoch: 6, Planner: "self", EarlierGrants: &link.EarlierGrants{Epoch: 6, Remaining: second}}, *now)
	select {
	case f := <-g.term.inbox:
		f(*now)
	case <-time.After(5 * time.Second):
		c.Fatal("the term got no event")
	}
	p.learnPlanner(7, "b")
	p.mergeReply("b", &link.PeerReply{Epoch: 7, Planner: "b", EarlierGrants: &link.EarlierGrants{Epoch: 7, Remaining: second}}, *now)
	select {
	case <-g.term.inbox:
		c.Fatal("the term got an event for a later planner")
	case <-time.After(100 * ms):
	}
}
