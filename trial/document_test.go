package trial_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/api"
	store "github.com/eelgrasshub/eelgrasshub/store/standin"
	"github.com/eelgrasshub/eelgrasshub/trial"
)

// changedDocument is the tests' document after an edit.
var changedDocument = []byte(documentText + "\n# changed\n")

// awaitReadyWith waits until the entry is ready, and fails if it is ready with another
// generation than want.
func (tc *testCluster) awaitReadyWith(n *trial.EntryNode, want uint64) {
	tc.Helper()
	tc.eventually(func() error {
		s, err := n.Client().Status(tc.ctx)
		if err != nil {
			return err
		}
		if !s.Ready {
			return fmt.Errorf("%s is not ready", n.ID)
		}
		tc.Assert(s.Generations, qt.HasLen, 1)
		tc.Assert(s.Generations[0].Generation, qt.Equals, want)
		return nil
	})
}

func TestNewEntryGetsDocumentFromPeer(t *testing.T) {
	// An entry restarted during a store outage must take the active generation from its peer
	// before it becomes ready.
	tc := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	v, err := tc.PutDocument(tc.ctx, changedDocument, 1)
	tc.Assert(err, qt.IsNil)
	tc.Assert(tc.WaitForDocument(tc.ctx, v.Generation), qt.IsNil)
	tc.Entries[0].Kill()
	tc.Store.SetFaults(store.Faults{Down: store.DownRefuse})
	tc.Assert(tc.Entries[0].Start(), qt.IsNil)
	tc.awaitReadyWith(tc.Entries[0], v.Generation)
	tc.checkDone(tc.request(0, "check", "served", "", 0), "served")
}

func TestStoreRestoreDoesNotRevertDocument(t *testing.T) {
	// The store is restored from a backup that is older than the active document. A new entry must
	// not become ready with the old one, and the store must get the newer one back.
	tc := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	tc.Store.Snapshot()
	v, err := tc.PutDocument(tc.ctx, changedDocument, 1)
	tc.Assert(err, qt.IsNil)
	tc.Assert(tc.WaitForDocument(tc.ctx, v.Generation), qt.IsNil)
	tc.Entries[0].Kill()
	tc.Store.Restore()
	tc.Assert(tc.Entries[0].Start(), qt.IsNil)
	tc.awaitReadyWith(tc.Entries[0], v.Generation)
	tc.Assert(tc.WaitForDocument(tc.ctx, v.Generation), qt.IsNil)
	tc.eventually(func() error {
		_, err := tc.PutDocument(tc.ctx, changedDocument, v.Generation)
		return err
	})
}

func TestDocumentChangeReachesEntryWithoutStore(t *testing.T) {
	// A change must reach an entry that cannot reach the store.
	tc := startTestCluster(t, nil)
	tc.Entries[0].SetStorePartitioned(true)
	v, err := tc.PutDocument(tc.ctx, changedDocument, 1)
	tc.Assert(err, qt.IsNil)
	tc.Assert(tc.WaitForDocument(tc.ctx, v.Generation), qt.IsNil)
}

func TestEntryWithoutDocumentIsNotReady(t *testing.T) {
	// Entries that start without any document must refuse requests as not run, with a retry delay,
	// until the store is back.
	tc := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	tc.Store.SetFaults(store.Faults{Down: store.DownHang})
	for _, n := range tc.Entries {
		n.Kill()
	}
	for _, n := range tc.Entries {
		tc.Assert(n.Start(), qt.IsNil)
	}
	for i := range tc.Entries {
		a := tc.request(i, "check", "early", "", 0)
		tc.Check(a.Outcome, qt.Equals, api.OutcomeNotRun)
		tc.Assert(a.Problem, qt.IsNotNil)
		tc.Check(a.Problem.RetryAfter > 0, qt.IsTrue)
	}
	tc.Store.SetFaults(store.Faults{})
	for i, n := range tc.Entries {
		tc.awaitReadyWith(n, 1)
		tc.checkDone(tc.request(i, "check", n.ID, "", 0), n.ID)
	}
}
