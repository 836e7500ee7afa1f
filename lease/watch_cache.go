package lease

import (
	"context"
	"sync"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// view is what a Session's watch has shown of the duties. It is safe for
// concurrent use.
type view struct {
	mu      sync.Mutex
	listed  bool
	seen    store.Revision // all changes up to here are in keys
	keys    map[string]store.KeyValue
	changed chan struct{} // closed and replaced on every change
}

func newView() *view { return &view{changed: make(chan struct{})} }

// list takes a whole listing.
func (v *view) list(snap store.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed, v.seen = true, snap.At
	v.keys = make(map[string]store.KeyValue, len(snap.Keys))
	for _, kv := range snap.Keys {
		v.keys[kv.Key] = kv
	}
	v.wake()
}

// deliver takes what the watch brings.
func (v *view) deliver(b store.WatchBatch) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range b.Events {
		if e.Deleted {
			delete(v.keys, e.Key)
			continue
		}
		v.keys[e.Key] = e.KeyValue
	}
	v.seen = b.At
	v.wake()
}

func (v *view) wake() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// get returns a key as of a revision not before after; ready is false where
// that is not known yet. changed is closed at the next change.
func (v *view) get(key string, minRevision store.Revision) (kv store.KeyValue, ok, ready bool, changed <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	kv, ok = v.keys[key]
	return kv, ok, v.listed && v.seen >= minRevision, v.changed
}

// await is get that waits until it is ready.
func (v *view) await(ctx context.Context, key string, minRevision store.Revision) (store.KeyValue, bool, error) {
	for {
		kv, ok, ready, changed := v.get(key, minRevision)
		if ready {
			return kv, ok, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return store.KeyValue{}, false, ctx.Err()
		}
	}
}
