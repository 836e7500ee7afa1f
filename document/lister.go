package document

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
)

const (
	// wholeEvery is how many listings go by before all documents are read again,
	// should the store not tell by its Source that it was restored.
	wholeEvery = 30
	// maxReadOneByOne bounds the documents that one listing reads by themselves.
	// More than these are read in one call.
	maxReadOneByOne = 4
)

// lister lists the documents again and again, and reads only those that it has
// not seen at their present revision. Listing them whole is a process's largest
// use of the store where there are many services. One goroutine at a time owns
// it: that of Watcher.follow, or of the watch that it waits for.
type lister struct {
	store store.Store

	seen   map[string]store.KeyValue // by key, from listings and the watch
	source uint64
	at     store.Revision
	parts  int // listings since the last whole one
}

// list returns all documents at one revision or, where some had to be read by
// themselves, these at a later one. A watch from the result's revision misses
// nothing; it may bring such a document a second time.
func (l *lister) list(ctx context.Context) (store.Snapshot, error) {
	if l.seen == nil || l.parts >= wholeEvery {
		return l.whole(ctx)
	}
	keys, err := l.store.ListKeys(ctx, StoreKeyPrefix)
	if err != nil {
		return store.Snapshot{}, err
	}
	if l.restored(keys) || l.unseen(keys) > maxReadOneByOne {
		return l.whole(ctx)
	}
	l.parts++
	return l.fill(ctx, keys)
}

// restored guards against a store restored from a backup, which counts its
// revisions again: a document written since can have the revision of another one
// that was seen before, and would be taken for that one.
func (l *lister) restored(s store.Snapshot) bool {
	return s.Source != l.source || s.At < l.at
}

func (l *lister) unseen(keys store.Snapshot) int {
	n := 0
	for _, kv := range keys.Keys {
		if l.seen[kv.Key].Mod != kv.Mod {
			n++
		}
	}
	return n
}

func (l *lister) whole(ctx context.Context) (store.Snapshot, error) {
	s, err := l.store.List(ctx, StoreKeyPrefix)
	if err != nil {
		return store.Snapshot{}, err
	}
	l.parts = 0
	l.remember(s)
	return s, nil
}

// fill puts the documents into a listing of their keys.
func (l *lister) fill(ctx context.Context, keys store.Snapshot) (store.Snapshot, error) {
	s := keys
	s.Keys = nil
	for _, kv := range keys.Keys {
		whole := l.seen[kv.Key]
		if whole.Mod != kv.Mod {
			now, ok, err := l.store.Get(ctx, kv.Key)
			if err != nil {
				return store.Snapshot{}, eris.Wrapf(err, "key %s", kv.Key)
			}
			if !ok {
				continue // deleted since; the watch brings that as well
			}
			whole = now
		}
		s.Keys = append(s.Keys, whole)
	}
	l.remember(s)
	return s, nil
}

func (l *lister) remember(s store.Snapshot) {
	l.source, l.at = s.Source, s.At
	l.seen = make(map[string]store.KeyValue, len(s.Keys))
	for _, kv := range s.Keys {
		l.seen[kv.Key] = kv
	}
}

// changed takes in what the watch from the last listing delivers.
func (l *lister) changed(b store.WatchBatch) {
	l.at = max(l.at, b.At)
	for _, e := range b.Events {
		if e.Deleted {
			delete(l.seen, e.Key)
			continue
		}
		l.seen[e.Key] = e.KeyValue
	}
}
