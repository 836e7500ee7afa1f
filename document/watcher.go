package document

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// Intervals and timeouts of a Watcher.
const (
	tickPeriod   = 200 * time.Millisecond
	retryDelay   = 500 * time.Millisecond // after a listing or watch failed, plus up to the same again as jitter
	writeTimeout = 5 * time.Second
	queryTimeout = 2 * time.Second
)

// PeerQuery sends this process's versions to a peer and returns its answer. The Watcher
// fills in Peer and QueriedAt.
type PeerQuery func(ctx context.Context, peer string, have []Summary) (PeerAnswered, error)

// Watcher runs a Syncer: it lists and watches the documents in the store, queries peers
// until the process is ready, and repairs a restored store. It is safe for concurrent use.
type Watcher struct {
	store  store.Store // nil in a process that does not read the store
	query  PeerQuery
	active *ActiveSet
	log    logrus.FieldLogger

	tomb   tomb.Tomb
	ready  chan struct{}
	relist chan struct{}

	mu      sync.Mutex // protects syncer and stopped
	syncer  *Syncer
	stopped bool

	lister    lister // owned by followStore and the watch that it waits for
	storeDown bool   // whether the last call failed; owned by followStore

	writeBacks, storeFailures, unreadable atomic.Int64
}

// WatcherCounts holds event counts since the start of the process.
type WatcherCounts struct {
	WriteBacks    int64 `json:"write_backs"`    // successful write-backs to the store
	StoreFailures int64 `json:"store_failures"` // failed listings and watches
	Unreadable    int64 `json:"unreadable"`     // stored values that this binary cannot decode
}

// NewWatcher starts a Watcher; Stop ends it. store is nil in a process that does not read
// the store, and query may be nil.
func NewWatcher(store store.Store, query PeerQuery, active *ActiveSet, config SyncerConfig, log logrus.FieldLogger) *Watcher {
	config.ReadsStore = store != nil
	w := &Watcher{
		store:  store,
		lister: lister{store: store},
		query:  query,
		active: active,
		log:    log,
		ready:  make(chan struct{}),
		relist: make(chan struct{}, 1),
		syncer: NewSyncer(time.Now(), config, active),
	}
	w.tomb.Go(func() error {
		w.tomb.Go(w.runTicker)
		if store != nil {
			w.tomb.Go(w.followStore)
		}
		return nil
	})
	return w
}

// Stop stops the Watcher and waits for its goroutines.
func (w *Watcher) Stop() error {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

// Ready returns a channel that is closed once the documents are confirmed.
func (w *Watcher) Ready() <-chan struct{} {
	return w.ready
}

// Counts returns the counts so far.
func (w *Watcher) Counts() WatcherCounts {
	return WatcherCounts{
		WriteBacks:    w.writeBacks.Load(),
		StoreFailures: w.storeFailures.Load(),
		Unreadable:    w.unreadable.Load(),
	}
}

// SetPeers replaces the known peers.
func (w *Watcher) SetPeers(ids []string) {
	w.handleEvent(PeersUpdated{PeerIDs: ids})
}

// ReceiveVersions handles versions that a peer sent without a query. They may become
// active like any other, but do not confirm the documents.
func (w *Watcher) ReceiveVersions(peer string, versions []Version) {
	w.handleEvent(PeerAnswered{Peer: peer, Versions: versions})
}

// handleEvent holds the lock while it performs the actions, none of which blocks. Thus
// actions keep the order of their events, and no goroutine is started after Stop.
func (w *Watcher) handleEvent(event SyncerEvent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	for _, a := range w.syncer.Step(time.Now(), event) {
		w.perform(a)
	}
}

func (w *Watcher) perform(action SyncerAction) {
	switch a := action.(type) {
	case ListStore:
		select {
		case w.relist <- struct{}{}:
		default:
		}
	case MarkReady:
		w.log.WithField("source", a.Source).Info("documents confirmed")
		close(w.ready)
	case QueryPeers:
		for _, id := range a.PeerIDs {
			w.spawn(func() { w.queryPeer(id) })
		}
	case WriteBack:
		w.spawn(func() { w.writeBack(a) })
	}
}

// spawn runs f on a goroutine of the tomb.
func (w *Watcher) spawn(f func()) {
	w.tomb.Go(func() error {
		f()
		return nil
	})
}

func (w *Watcher) runTicker() error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.handleEvent(SyncerTick{})
		case <-w.tomb.Dying():
			return nil
		}
	}
}

func (w *Watcher) queryPeer(id string) {
	if w.query == nil {
		return
	}
	ctx, cancel := context.WithTimeout(w.tomb.Context(context.Background()), queryTimeout)
	defer cancel()
	queriedAt := time.Now()
	answer, err := w.query(ctx, id, w.active.Summaries())
	if err != nil {
		return // the next round queries the peer again
	}
	answer.Peer, answer.QueriedAt = id, queriedAt
	w.handleEvent(answer)
}

func (w *Watcher) writeBack(a WriteBack) {
	value, err := a.Version.Marshal()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(w.tomb.Context(context.Background()), writeTimeout)
	defer cancel()
	swap := store.Swap{Key: StoreKey(a.Version.Service), Expect: a.Expect, Value: value}
	results, err := w.store.Commit(ctx, []store.Swap{swap})
	if err != nil || !results[0].Swapped {
		return // the next listing shows whether it is still needed
	}
	w.writeBacks.Add(1)
	w.log.WithFields(logrus.Fields{
		"service":             a.Version.Service,
		"generation":          a.Version.Generation,
		"replaced_generation": a.Replaced.Generation,
		"replaced_author":     a.Replaced.Author,
	}).Warn("store held an older document, written back")
}
