package document

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
)

const (
	// partialListsPerFull is how many listings go by before all documents are read again,
	// should the store not tell by its Source that it was restored.
	partialListsPerFull = 30
	// maxSingleReads bounds the documents that one listing reads by themselves.
	// More than these are read in one call.
	maxSingleReads = 4
)

// lister lists the documents again and again, and reads only those that it has
// not seen at their present revision. Listing them whole is a process's largest
// use of the store where there are many services. One goroutine at a time owns
// it: that of Watcher.follow, or of the watch that it waits for.
type lister struct {
	store store.Store

	cached       map[string]store.KeyValue // by key, from listings and the watch
	source       uint64
	revision     store.Revision
	partialLists int // listings since the last whole one
}

// list returns all documents at one revision or, where some had to be read by
// themselves, these at a later one. A watch from the result's revision misses
// nothing; it may bring such a document a second time.
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

// storeRestored guards against a store storeRestored from a backup, which counts its
// revisions again: a document written since can have the revision of another one
// that was seen before, and would be taken for that one.
func (l *lister) storeRestored(s store.Snapshot) bool {
	return s.Source != l.source || s.At < l.revision
}

func (l *lister) countStale(keys store.Snapshot) int {
	n := 0
	for _, kv := range keys.Keys {
		if l.cached[kv.Key].Mod != kv.Mod {
			n++
		}
	}
	return n
}

func (l *lister) listAll(ctx context.Context) (store.Snapshot, error) {
	s, err := l.store.List(ctx, StoreKeyPrefix)
	if err != nil {
		return store.Snapshot{}, err
	}
	l.partialLists = 0
	l.cacheSnapshot(s)
	return s, nil
}

// readValues puts the documents into a listing of their keys.
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
				continue // deleted since; the watch brings that as well
			}
			value = latest
		}
		s.Keys = append(s.Keys, value)
	}
	l.cacheSnapshot(s)
	return s, nil
}

func (l *lister) cacheSnapshot(s store.Snapshot) {
	l.source, l.revision = s.Source, s.At
	l.cached = make(map[string]store.KeyValue, len(s.Keys))
	for _, kv := range s.Keys {
		l.cached[kv.Key] = kv
	}
}

// applyWatchBatch takes in what the watch from the last listing delivers.
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
