package document

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// follow lists and watches until the Watcher ends. Each watch lasts until the
// next listing is due: a watch whose connection went silent, or whose revision
// a restored store has not reached again, would wait for good.
func (w *Watcher) follow() error {
	for w.tomb.Alive() {
		err := w.session()
		if !w.tomb.Alive() || err == nil {
			continue
		}
		if !errors.Is(err, store.ErrCompacted) {
			w.failures.Add(1)
			w.step(StoreFailed{})
			w.setReachable(false)
		}
		w.sleep(retryPause + rand.N(retryPause))
	}
	return nil
}

// setReachable logs a change. Only the goroutine of follow calls it.
func (w *Watcher) setReachable(now bool) {
	if now == !w.out {
		return
	}
	w.out = !now
	if w.out {
		w.log.Warn("store of documents not reachable, the documents held stay in force")
		return
	}
	w.log.Info("store of documents reachable again")
}

func (w *Watcher) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-w.tomb.Dying():
	}
}

// session lists once and watches until a listing is due. It returns nil when
// it ended for that reason.
func (w *Watcher) session() error {
	ctx, cancel := context.WithCancel(w.tomb.Context(context.Background()))
	defer cancel()
	snapshot, err := w.lister.list(ctx)
	if err != nil {
		return err
	}
	w.setReachable(true)
	w.step(w.listing(snapshot))
	done := make(chan error, 1)
	w.tomb.Go(func() error {
		done <- w.store.Watch(ctx, StoreKeyPrefix, snapshot.At+1, w.deliver)
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

func (w *Watcher) listing(s store.Snapshot) StoreListed {
	var l StoreListed
	for _, kv := range s.Keys {
		d, ok := w.read(kv)
		if !ok {
			l.Unreadable = append(l.Unreadable, kv.Key[len(StoreKeyPrefix):])
			continue
		}
		l.Documents = append(l.Documents, d)
	}
	return l
}

func (w *Watcher) deliver(b store.WatchBatch) {
	w.lister.changed(b)
	for _, e := range b.Events {
		if e.Deleted {
			w.step(StoreDeleted{Service: e.Key[len(StoreKeyPrefix):]})
			continue
		}
		if d, ok := w.read(e.KeyValue); ok {
			w.step(StoreChanged{Document: d})
		}
	}
}

// read skips what is not a version: it is not ours to repair.
func (w *Watcher) read(kv store.KeyValue) (StoredVersion, bool) {
	d, err := stored(kv)
	if err != nil {
		w.unreadable.Add(1)
		return StoredVersion{}, false
	}
	return d, true
}
