package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

// watcher is one Watch across its connections. One goroutine owns it.
type watcher struct {
	client  *Client
	prefix  string
	last    Revision // delivered, or known to hold nothing to deliver
	cluster uint64
	deliver func(WatchBatch)
}

// connect follows one connection to its end and reports whether it delivered
// anything.
func (w *watcher) connect(ctx context.Context, base string) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The connection may go silent for good, because something between the
	// two ends has lost track of it. Nothing is reported then; only the
	// absence of the progress notices shows it.
	idle := w.client.opts.WatchIdleTimeout
	silent := time.AfterFunc(idle, cancel)
	defer silent.Stop()
	resp, err := w.open(ctx, base)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, refused(resp).err()
	}
	return w.follow(resp.Body, func() { silent.Reset(idle) })
}

func (w *watcher) open(ctx context.Context, base string) (*http.Response, error) {
	req := v3json.WatchRequest{}
	req.Create.Key, req.Create.RangeEnd = prefixRange(w.prefix)
	req.Create.StartRevision = int64(w.last + 1)
	req.Create.ProgressNotify = true
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	resp, _, err := w.client.send(ctx, base+v3json.PathWatch, body)
	return resp, err
}

func (w *watcher) follow(body io.Reader, alive func()) (bool, error) {
	dec := json.NewDecoder(body)
	start := w.last
	for {
		var msg v3json.WatchMessage
		if err := dec.Decode(&msg); err != nil {
			return w.last > start, err
		}
		alive()
		if msg.Result == nil {
			return w.last > start, ErrUnavailable
		}
		if err := w.handle(msg.Result); err != nil {
			return w.last > start, err
		}
	}
}

// handle takes one message. Progress notices and events advance last; the
// header of a creation or of events does not, since changes up to its revision
// may still be on their way.
func (w *watcher) handle(res *v3json.WatchResponse) error {
	if res.CompactRevision > 0 {
		return ErrCompacted
	}
	if !plausibleHeader(res.Header) || !plausibleEvents(w.prefix, res.Events) {
		return ErrUnavailable
	}
	if w.restored(res.Header) {
		return ErrCompacted
	}
	if res.Canceled {
		return ErrUnavailable
	}
	if w.last < 0 {
		w.last = Revision(res.Header.Revision)
	}
	batch := WatchBatch{At: w.last}
	for _, e := range res.Events {
		if Revision(e.Kv.ModRevision) <= w.last {
			continue
		}
		batch.Events = append(batch.Events, event(e))
		batch.At = Revision(e.Kv.ModRevision)
	}
	if len(res.Events) == 0 && !res.Created {
		batch.At = Revision(res.Header.Revision)
	}
	if batch.At == w.last {
		return nil
	}
	w.last = batch.At
	w.deliver(batch)
	return nil
}

// restored tells whether the store was rebuilt from a backup. Its revisions go
// back then, and a watch from a later one would wait, silently missing all
// changes until they pass it.
func (w *watcher) restored(h v3json.Header) bool {
	if w.cluster == 0 {
		w.cluster = h.ClusterID
	}
	return h.ClusterID != w.cluster || Revision(h.Revision) < w.last
}

func event(e v3json.Event) Event {
	kv := fromJSON(e.Kv)
	if e.Type == v3json.EventDelete {
		return Event{KeyValue: KeyValue{Key: kv.Key, Mod: kv.Mod}, Deleted: true}
	}
	return Event{KeyValue: kv}
}
