package document_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/store"
)

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// startWatcher starts a Watcher and stops it at the end of the test. Within synctest,
// leaked goroutines fail the test.
func startWatcher(t *testing.T, kv store.Store, query document.PeerQuery) (*document.ActiveSet, *document.Watcher) {
	active := document.NewActiveSet(nil)
	w := document.NewWatcher(kv, query, active, document.DefaultSyncerConfig(kv != nil), discardLogger())
	t.Cleanup(func() { qt.Check(t, w.Stop(), qt.IsNil) })
	return active, w
}

func mustPut(c *qt.C, kv store.Store, label string, base uint64) {
	_, err := document.Put(context.Background(), kv, proposal(label, base))
	c.Assert(err, qt.IsNil)
}

func generationOf(active *document.ActiveSet) uint64 {
	current, ok := active.Current("dispatch")
	if !ok {
		return 0
	}
	return current.Version.Generation
}

func TestWatcherFollowsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		kv := newFakeStore()
		mustPut(c, kv, "one", 0)
		active, w := startWatcher(t, kv, nil)
		<-w.Ready()
		c.Assert(generationOf(active), qt.Equals, uint64(1))
		mustPut(c, kv, "two", 1)
		synctest.Wait()
		c.Assert(generationOf(active), qt.Equals, uint64(2))
	})
}

// After a restore, the active document must be kept and written back, and a further put
// must succeed.
func TestWatcherRepairsRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		kv := newFakeStore()
		mustPut(c, kv, "one", 0)
		old := kv.backup()
		mustPut(c, kv, "two", 1)
		active, w := startWatcher(t, kv, nil)
		<-w.Ready()
		kv.restore(old)
		time.Sleep(15 * time.Second)
		c.Assert(generationOf(active), qt.Equals, uint64(2))
		c.Assert(w.Counts().WriteBacks, qt.Equals, int64(1))
		stored, _, err := document.Get(context.Background(), kv, "dispatch")
		c.Assert(err, qt.IsNil)
		c.Assert(stored.Generation, qt.Equals, uint64(2))
		mustPut(c, kv, "three", 2)
		synctest.Wait()
		c.Assert(generationOf(active), qt.Equals, uint64(3))
	})
}

// A process that starts during a store outage must get the document from peers, and follow
// the store once it is back.
func TestWatcherStartsWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		kv := newFakeStore()
		mustPut(c, kv, "one", 0)
		v, _, err := document.Get(context.Background(), kv, "dispatch")
		c.Assert(err, qt.IsNil)
		kv.setDown(true)
		var queries atomic.Int64
		active, w := startWatcher(t, kv, func(context.Context, string, []document.Summary) (document.PeerAnswered, error) {
			queries.Add(1)
			return peerAnswer("", true, v), nil
		})
		synctest.Wait() // the first listing fails before the peers answer
		w.SetPeers([]string{"a", "b", "c"})
		<-w.Ready()
		c.Assert(generationOf(active), qt.Equals, uint64(1))
		c.Assert(queries.Load() >= 2, qt.IsTrue)
		kv.setDown(false)
		mustPut(c, kv, "two", 1)
		time.Sleep(2 * time.Second)
		c.Assert(generationOf(active), qt.Equals, uint64(2))
		c.Assert(w.Counts().StoreFailures > 0, qt.IsTrue)
	})
}

// A stored value that is not a document must be left as it is, and must not block other
// documents.
func TestWatcherSkipsUnreadableValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		kv := newFakeStore()
		mustPut(c, kv, "one", 0)
		swap := store.Swap{Key: document.StoreKey("slotbook"), Value: []byte("not a document")}
		_, err := kv.Commit(context.Background(), []store.Swap{swap})
		c.Assert(err, qt.IsNil)
		active, w := startWatcher(t, kv, nil)
		<-w.Ready()
		c.Assert(generationOf(active), qt.Equals, uint64(1))
		c.Assert(w.Counts().Unreadable, qt.Equals, int64(1))
		c.Assert(w.Counts().WriteBacks, qt.Equals, int64(0))
	})
}
