package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/lease"
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
