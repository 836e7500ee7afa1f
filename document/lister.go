package document

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
)

const (
	// partialListsPerFull is the number of listings after which all documents are read
	// again, in case the store does not report by its Source that it was restored.
	partialListsPerFull = 30
	// maxSingleReads is the maximum number of documents that one listing reads
	// individually. If more have changed, all are read in one call.
	maxSingleReads = 4
)

// lister lists the documents repeatedly and reads only those that changed, since reading
// all of them is expensive with many services. It is owned by one goroutine at a time:
// that of Watcher.followStore, or that of the watch that followStore waits for.
type lister struct {
	store store.Store

	cached       map[string]store.KeyValue // last known values by key, from listings and the watch
	source       uint64
	revision     store.Revision
	partialLists int // listings since the last full one
}

// list returns all documents at one revision, or individually read ones at a later
// revision. A watch from the result's revision misses no change; it may deliver an
// individually read document again.
func (l *lister) list(ctx context.Context) (store.Snapshot, error) {
	if l.cached == nil || l.partialLists >= partialListsPerFull {
		return l.listAll(ctx)
	}
	keys, err := l.store.ListKeys(ctx, StoreKeyPrefix)
	if err != nil {
		return store.Snapshot{}, err
	}
	if l.storeRestored(keys) || l.countStale(keys) > maxSingleReads {
		return l.listAll(ctx)
	}
	l.partialLists++
	return l.readValues(ctx, keys)
}

// storeRestored reports whether the store was restored from a backup. A restored store
// reuses revisions, so cached values cannot be matched by revision.
func (l *lister) storeRestored(s store.Snapshot) bool {
	return s.Source != l.source || s.At < l.revision
}

// countStale returns the number of keys whose cached value is missing or outdated.
func (l *lister) countStale(keys store.Snapshot) int {
	n := 0
	for _, kv := range keys.Keys {
		if l.cached[kv.Key].Mod != kv.Mod {
			n++
		}
	}
	return n
}

// listAll reads all documents.
func (l *lister) listAll(ctx context.Context) (store.Snapshot, error) {
	s, err := l.store.List(ctx, StoreKeyPrefix)
	if err != nil {
		return store.Snapshot{}, err
	}
	l.partialLists = 0
	l.cacheSnapshot(s)
	return s, nil
}

// readValues completes a listing of keys with the cached values, reading those that
// changed.
func (l *lister) readValues(ctx context.Context, keys store.Snapshot) (store.Snapshot, error) {
	s := keys
	s.Keys = nil
	for _, kv := range keys.Keys {
		value := l.cached[kv.Key]
		if value.Mod != kv.Mod {
			latest, ok, err := l.store.Get(ctx, kv.Key)
			if err != nil {
				return store.Snapshot{}, eris.Wrapf(err, "key %s", kv.Key)
			}
			if !ok {
				continue // deleted since; the watch reports that too
			}
			value = latest
		}
		s.Keys = append(s.Keys, value)
	}
	l.cacheSnapshot(s)
	return s, nil
}

// cacheSnapshot replaces the cache by a complete listing.
func (l *lister) cacheSnapshot(s store.Snapshot) {
	l.source, l.revision = s.Source, s.At
	l.cached = make(map[string]store.KeyValue, len(s.Keys))
	for _, kv := range s.Keys {
		l.cached[kv.Key] = kv
	}
}

// applyWatchBatch updates the cache with the events of the watch that follows the last
// listing.
func (l *lister) applyWatchBatch(b store.WatchBatch) {
	l.revision = max(l.revision, b.At)
	for _, e := range b.Events {
		if e.Deleted {
			delete(l.cached, e.Key)
			continue
		}
		l.cached[e.Key] = e.KeyValue
	}
}
