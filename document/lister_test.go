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

// With many services the documents that every entry lists again and again would
// use up what a node may send and receive. What has not changed, or came by the
// watch, is not read again.
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

// The watch hears nothing any more while its connection looks well, and the
// document changes. The next listing sees another revision and reads it.
func TestListFindsChangeMissedByWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		kv := newFakeStore()
		mustPut(c, kv, "one", 0)
		active, w := startWatcher(t, silentWatchStore{kv}, nil)
		<-w.Ready()
		mustPut(c, kv, "two", 1)
		time.Sleep(15 * time.Second)
		c.Assert(generationOf(active), qt.Equals, uint64(2))
	})
}

// silentWatchStore's watches never deliver.
type silentWatchStore struct{ *fakeStore }

func (s silentWatchStore) Watch(ctx context.Context, _ string, _ store.Revision, _ func(store.WatchBatch)) error {
	<-ctx.Done()
	return ctx.Err()
}

// The store is restored from a backup while the watch hears nothing, and before
// the next listing an operator puts again. The store has counted its revisions
// again meanwhile: the new document has the revision at which the process saw
// another one. It must be read, and the two texts be settled.
func TestListAfterRestoreIgnoresCachedRevisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		kv := newFakeStore()
		mustPut(c, kv, "one", 0)
		old := kv.backup()
		mustPut(c, kv, "two", 1)
		active, w := startWatcher(t, silentWatchStore{kv}, nil)
		<-w.Ready()
		kv.restore(old)
		time.Sleep(time.Second) // the later text wins
		mustPut(c, kv, "other two", 1)
		time.Sleep(15 * time.Second)
		stored, _, err := document.Get(context.Background(), kv, "dispatch")
		c.Assert(err, qt.IsNil)
		current, _ := active.Current("dispatch")
		c.Assert(string(current.Version.TOML), qt.Equals, string(stored.TOML))
		c.Assert(string(stored.TOML), qt.Contains, "other two")
	})
}
