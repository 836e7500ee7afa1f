package document_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// With many services, periodic listings must not read documents that have not changed or
// were delivered by the watch.
func TestListReadsOnlyChangedDocuments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		kv := newFakeStore()
		mustPut(c, kv, "one", 0)
		active, w := startWatcher(t, kv, nil)
		<-w.Ready()
		mustPut(c, kv, "two", 1)
		before, _ := kv.counts()
		time.Sleep(4 * time.Minute)
		calls, values := kv.counts()
		c.Assert(calls-before > 20, qt.IsTrue)
		c.Assert(values, qt.Equals, 1)
		c.Assert(generationOf(active), qt.Equals, uint64(2))
	})
}

// A listing must find a change that the watch has not delivered.
func TestListFindsChangeMissedByWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		kv := newFakeStore()
		mustPut(c, kv, "one", 0)
		active, w := startWatcher(t, unresponsiveWatchStore{kv}, nil)
		<-w.Ready()
		mustPut(c, kv, "two", 1)
		time.Sleep(15 * time.Second)
		c.Assert(generationOf(active), qt.Equals, uint64(2))
	})
}

// unresponsiveWatchStore is a store whose watches never deliver.
type unresponsiveWatchStore struct{ *fakeStore }

func (s unresponsiveWatchStore) Watch(ctx context.Context, _ string, _ store.Revision, _ func(store.WatchBatch)) error {
	<-ctx.Done()
	return ctx.Err()
}

// After a restore, a new document may have the revision of a cached one; it must be read,
// and the fork resolved.
func TestListAfterRestoreIgnoresCachedRevisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		kv := newFakeStore()
		mustPut(c, kv, "one", 0)
		old := kv.backup()
		mustPut(c, kv, "two", 1)
		active, w := startWatcher(t, unresponsiveWatchStore{kv}, nil)
		<-w.Ready()
		kv.restore(old)
		time.Sleep(time.Second) // the later version wins
		mustPut(c, kv, "other two", 1)
		time.Sleep(15 * time.Second)
		stored, _, err := document.Get(context.Background(), kv, "dispatch")
		c.Assert(err, qt.IsNil)
		current, _ := active.Current("dispatch")
		c.Assert(string(current.Version.TOML), qt.Equals, string(stored.TOML))
		c.Assert(string(stored.TOML), qt.Contains, "other two")
	})
}
