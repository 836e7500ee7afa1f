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
func (w *testCluster) awaitReadyWith(n *trial.EntryNode, want uint64) {
	w.Helper()
	w.eventually(func() error {
		s, err := n.Client().Status(w.ctx)
		if err != nil {
			return err
		}
		if !s.Ready {
			return fmt.Errorf("%s is not ready", n.ID)
		}
		w.Assert(s.Generations, qt.HasLen, 1)
		w.Assert(s.Generations[0].Generation, qt.Equals, want)
		return nil
	})
}

func TestNewEntryGetsDocumentFromPeer(t *testing.T) {
	// An entry restarted during a store outage must take the current generation from its peer
	// before it becomes ready.
	w := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	v, err := w.PutDocument(w.ctx, changedDocument, 1)
	w.Assert(err, qt.IsNil)
	w.Assert(w.WaitForDocument(w.ctx, v.Generation), qt.IsNil)
	w.Entries[0].Kill()
	w.Store.SetFaults(store.Faults{Down: store.DownRefuse})
	w.Assert(w.Entries[0].Start(), qt.IsNil)
	w.awaitReadyWith(w.Entries[0], v.Generation)
	w.checkDone(w.request(0, "check", "served", "", 0), "served")
}

func TestStoreRestoreDoesNotRevertDocument(t *testing.T) {
	// The store is restored from a backup that is older than the current document. A new entry
	// must not become ready with the old one, and the store must get the newer one back.
	w := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	w.Store.Snapshot()
	v, err := w.PutDocument(w.ctx, changedDocument, 1)
	w.Assert(err, qt.IsNil)
	w.Assert(w.WaitForDocument(w.ctx, v.Generation), qt.IsNil)
	w.Entries[0].Kill()
	w.Store.Restore()
	w.Assert(w.Entries[0].Start(), qt.IsNil)
	w.awaitReadyWith(w.Entries[0], v.Generation)
	w.Assert(w.WaitForDocument(w.ctx, v.Generation), qt.IsNil)
	w.eventually(func() error {
		_, err := w.PutDocument(w.ctx, changedDocument, v.Generation)
		return err
	})
}

func TestDocumentChangeReachesEntryWithoutStore(t *testing.T) {
	// A change must reach an entry that cannot reach the store.
	w := startTestCluster(t, nil)
	w.Entries[0].SetStorePartitioned(true)
	v, err := w.PutDocument(w.ctx, changedDocument, 1)
	w.Assert(err, qt.IsNil)
	w.Assert(w.WaitForDocument(w.ctx, v.Generation), qt.IsNil)
}

func TestEntryWithoutDocumentIsNotReady(t *testing.T) {
	// Entries that start without any document must refuse requests as not run, with a retry delay,
	// until the store is back.
	w := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	w.Store.SetFaults(store.Faults{Down: store.DownHang})
	for _, n := range w.Entries {
		n.Kill()
	}
	for _, n := range w.Entries {
		w.Assert(n.Start(), qt.IsNil)
	}
	for i := range w.Entries {
		a := w.request(i, "check", "early", "", 0)
		w.Check(a.Outcome, qt.Equals, api.OutcomeNotRun)
		w.Assert(a.Problem, qt.IsNotNil)
		w.Check(a.Problem.RetryAfter > 0, qt.IsTrue)
	}
	w.Store.SetFaults(store.Faults{})
	for i, n := range w.Entries {
		w.awaitReadyWith(n, 1)
		w.checkDone(w.request(i, "check", n.ID, "", 0), n.ID)
	}
}
