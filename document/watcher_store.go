package document

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// followStore lists and watches until the Watcher stops. Each watch ends when the next
// listing is due, since a watch whose connection is dead, or whose revision a restored
// store has not reached again, would wait forever.
func (w *Watcher) followStore() error {
	for w.tomb.Alive() {
		err := w.listAndWatch()
		if !w.tomb.Alive() || err == nil {
			continue
		}
		if !errors.Is(err, store.ErrCompacted) {
			w.storeFailures.Add(1)
			w.handleEvent(StoreFailed{})
			w.setStoreReachable(false)
		}
		w.sleep(retryDelay + rand.N(retryDelay))
	}
	return nil
}

// setStoreReachable logs changes of the store's reachability. It is called on the
// goroutine of followStore only.
func (w *Watcher) setStoreReachable(reachable bool) {
	if reachable == !w.storeDown {
		return
	}
	w.storeDown = !reachable
	if w.storeDown {
		w.log.Warn("document store unreachable; keeping the active documents")
		return
	}
	w.log.Info("document store reachable again")
}

func (w *Watcher) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-w.tomb.Dying():
	}
}

// listAndWatch lists the documents once and watches them until the next listing is due; it
// returns nil in that case.
func (w *Watcher) listAndWatch() error {
	ctx, cancel := context.WithCancel(w.tomb.Context(context.Background()))
	defer cancel()
	snapshot, err := w.lister.list(ctx)
	if err != nil {
		return err
	}
	w.setStoreReachable(true)
	w.handleEvent(w.decodeSnapshot(snapshot))
	done := make(chan error, 1)
	w.tomb.Go(func() error {
		done <- w.store.Watch(ctx, StoreKeyPrefix, snapshot.At+1, w.handleWatchBatch)
		return nil
	})
	select {
	case <-w.relist:
		cancel()
		<-done
		return nil
	case err := <-done:
		return err
	}
}

// decodeSnapshot converts a listing of the store to an event.
func (w *Watcher) decodeSnapshot(s store.Snapshot) StoreListed {
	var listed StoreListed
	for _, kv := range s.Keys {
		stored, ok := w.decode(kv)
		if !ok {
			listed.Unreadable = append(listed.Unreadable, kv.Key[len(StoreKeyPrefix):])
			continue
		}
		listed.Documents = append(listed.Documents, stored)
	}
	return listed
}

func (w *Watcher) handleWatchBatch(b store.WatchBatch) {
	w.lister.applyWatchBatch(b)
	for _, e := range b.Events {
		if e.Deleted {
			w.handleEvent(StoreDeleted{Service: e.Key[len(StoreKeyPrefix):]})
			continue
		}
		if stored, ok := w.decode(e.KeyValue); ok {
			w.handleEvent(StoreChanged{Document: stored})
		}
	}
}

// decode decodes a stored value. It counts values that are not versions; they are left as
// they are.
func (w *Watcher) decode(kv store.KeyValue) (StoredVersion, bool) {
	stored, err := decodeStored(kv)
	if err != nil {
		w.unreadable.Add(1)
		return StoredVersion{}, false
	}
	return stored, true
}
