package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

// watch is one open watch, guarded by Server.mu.
type watch struct {
	create       v3json.WatchCreate
	sentRevision int64 // all changes up to it have been sent
	frozen       bool
	cut          bool
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	var req v3json.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeJSON(w, http.StatusBadRequest, v3json.Error{Error: err.Error(), Code: v3json.CodeInvalidArgument})
		return
	}
	if !s.admit(w, r, func(c *Counters) *int64 { return &c.Watch }, false) {
		return
	}
	watch := &watch{create: req.Create}
	first := s.openWatch(watch)
	defer s.closeWatch(watch)
	sendWatchResponse(w, first)
	if first.Canceled {
		return
	}
	progress := time.NewTicker(s.opts.ProgressInterval)
	defer progress.Stop()
	for {
		res, changed := s.nextResponse(watch)
		if res != nil {
			sendWatchResponse(w, *res)
		}
		select {
		case <-changed:
		case <-progress.C:
			s.sendProgress(w, watch)
		case <-r.Context().Done():
			return
		case <-s.tomb.Dying():
			return
		}
	}
}

func (s *Server) openWatch(w *watch) v3json.WatchResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := v3json.WatchResponse{Header: s.state.header(), Created: true}
	from := w.create.StartRevision
	if from != 0 && from < s.state.compactRevision {
		res.Canceled, res.CompactRevision = true, s.state.compactRevision
		return res
	}
	w.sentRevision = s.state.revision
	if from != 0 {
		w.sentRevision = from - 1
	}
	s.watches[w] = struct{}{}
	return res
}

func (s *Server) closeWatch(w *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watches, w)
}

// nextResponse returns the changes that have not been sent, if any, and the channel
// that is closed when there may be more. It aborts the call if the watch was cut. Both
// results are nil for a frozen watch.
func (s *Server) nextResponse(w *watch) (*v3json.WatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.frozen {
		return nil, nil
	}
	if w.cut {
		panic(http.ErrAbortHandler)
	}
	if w.sentRevision < s.state.compactRevision-1 {
		return &v3json.WatchResponse{Header: s.state.header(), Canceled: true, CompactRevision: s.state.compactRevision}, nil
	}
	events := s.state.eventsSince(w.sentRevision, w.create.Key, w.create.RangeEnd)
	w.sentRevision = max(w.sentRevision, s.state.revision)
	if len(events) == 0 {
		return nil, s.changed
	}
	return &v3json.WatchResponse{Header: s.state.header(), Events: events}, s.changed
}

// sendProgress sends a progress notice unless there are changes to be sent.
func (s *Server) sendProgress(w http.ResponseWriter, openWatch *watch) {
	s.mu.Lock()
	h := s.state.header()
	upToDate := openWatch.create.ProgressNotify && !openWatch.frozen && openWatch.sentRevision >= h.Revision
	s.mu.Unlock()
	if upToDate {
		sendWatchResponse(w, v3json.WatchResponse{Header: h})
	}
}

func sendWatchResponse(w http.ResponseWriter, res v3json.WatchResponse) {
	if err := json.NewEncoder(w).Encode(v3json.WatchMessage{Result: &res}); err != nil {
		return
	}
	_ = http.NewResponseController(w).Flush()
}
