package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

// watcher is the state of one Watch across its connections. One goroutine owns it.
type watcher struct {
	client       *Client
	prefix       string
	lastRevision Revision // all changes up to it have been delivered
	clusterID    uint64
	deliver      func(WatchBatch)
}

// watchOnce follows one connection until it ends and reports whether it delivered
// anything.
func (w *watcher) watchOnce(ctx context.Context, base string) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A network device may drop the state of the connection without an error to either
	// end. Only the missing progress notices show that.
	idleTimeout := w.client.opts.WatchIdleTimeout
	idleTimer := time.AfterFunc(idleTimeout, cancel)
	defer idleTimer.Stop()
	resp, err := w.openStream(ctx, base)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, errorResult(resp).err()
	}
	return w.readStream(resp.Body, func() { idleTimer.Reset(idleTimeout) })
}

func (w *watcher) openStream(ctx context.Context, base string) (*http.Response, error) {
	req := v3json.WatchRequest{}
	req.Create.Key, req.Create.RangeEnd = prefixRange(w.prefix)
	req.Create.StartRevision = int64(w.lastRevision + 1)
	req.Create.ProgressNotify = true
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	resp, _, err := w.client.send(ctx, base+v3json.PathWatch, body)
	return resp, err
}

func (w *watcher) readStream(body io.Reader, onMessage func()) (bool, error) {
	dec := json.NewDecoder(body)
	startRevision := w.lastRevision
	for {
		var msg v3json.WatchMessage
		if err := dec.Decode(&msg); err != nil {
			return w.lastRevision > startRevision, err
		}
		onMessage()
		if msg.Result == nil {
			return w.lastRevision > startRevision, ErrUnavailable
		}
		if err := w.handleResponse(msg.Result); err != nil {
			return w.lastRevision > startRevision, err
		}
	}
}

// handleResponse handles one message. Events and progress notices advance lastRevision.
// The header revision of a creation or of events does not, since changes up to it may
// still follow.
func (w *watcher) handleResponse(res *v3json.WatchResponse) error {
	if res.CompactRevision > 0 {
		return ErrCompacted
	}
	if !validHeader(res.Header) || !validEvents(w.prefix, res.Events) {
		return ErrUnavailable
	}
	if w.storeReplaced(res.Header) {
		return ErrCompacted
	}
	if res.Canceled {
		return ErrUnavailable
	}
	if w.lastRevision < 0 {
		w.lastRevision = Revision(res.Header.Revision)
	}
	batch := WatchBatch{At: w.lastRevision}
	for _, e := range res.Events {
		if Revision(e.Kv.ModRevision) <= w.lastRevision {
			continue
		}
		batch.Events = append(batch.Events, eventFromJSON(e))
		batch.At = Revision(e.Kv.ModRevision)
	}
	if len(res.Events) == 0 && !res.Created {
		batch.At = Revision(res.Header.Revision)
	}
	if batch.At == w.lastRevision {
		return nil
	}
	w.lastRevision = batch.At
	w.deliver(batch)
	return nil
}

// storeReplaced reports whether the store was restored from a backup. Its revisions
// have decreased then, and a watch from a later one would miss all changes up to it.
func (w *watcher) storeReplaced(h v3json.Header) bool {
	if w.clusterID == 0 {
		w.clusterID = h.ClusterID
	}
	return h.ClusterID != w.clusterID || Revision(h.Revision) < w.lastRevision
}

func eventFromJSON(e v3json.Event) Event {
	kv := keyValueFromJSON(e.Kv)
	if e.Type == v3json.EventDelete {
		return Event{KeyValue: KeyValue{Key: kv.Key, Mod: kv.Mod}, Deleted: true}
	}
	return Event{KeyValue: kv}
}
