package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

// watch is one open watch. The Server's lock guards it.
type watch struct {
	create v3json.WatchCreate
	seen   int64 // changes up to this revision have been sent
	frozen bool
	cut    bool
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req v3json.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		reply(w, http.StatusBadRequest, v3json.Error{Error: err.Error(), Code: v3json.CodeInvalidArgument})
		return
	}
	if !s.admit(w, r, func(c *Counters) *int64 { return &c.Watch }, false) {
		return
	}
	watch := &watch{create: req.Create}
	first := s.open(watch)
	defer s.forget(watch)
	send(w, first)
	if first.Canceled {
		return
	}
	progress := time.NewTicker(s.opts.ProgressInterval)
	defer progress.Stop()
	for {
		res, changed := s.next(watch)
		if res != nil {
			send(w, *res)
		}
		select {
		case <-changed:
		case <-progress.C:
			s.notify(w, watch)
		case <-r.Context().Done():
			return
		case <-s.tomb.Dying():
			return
		}
	}
}

func (s *Server) open(w *watch) v3json.WatchResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := v3json.WatchResponse{Header: s.state.header(), Created: true}
	from := w.create.StartRevision
	if from != 0 && from < s.state.compacted {
		res.Canceled, res.CompactRevision = true, s.state.compacted
		return res
	}
	w.seen = s.state.rev
	if from != 0 {
		w.seen = from - 1
	}
	s.watches[w] = struct{}{}
	return res
}

func (s *Server) forget(w *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watches, w)
}

// next returns the changes that the watch has not been sent, if any, and the
// channel that is closed when there may be more. It ends the call where the
// watch is cut; one that was frozen before hears of nothing any more.
func (s *Server) next(w *watch) (*v3json.WatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.frozen {
		return nil, nil
	}
	if w.cut {
		panic(http.ErrAbortHandler)
	}
	if w.seen < s.state.compacted-1 {
		return &v3json.WatchResponse{Header: s.state.header(), Canceled: true, CompactRevision: s.state.compacted}, nil
	}
	events := s.state.since(w.seen, w.create.Key, w.create.RangeEnd)
	w.seen = max(w.seen, s.state.rev)
	if len(events) == 0 {
		return nil, s.changed
	}
	return &v3json.WatchResponse{Header: s.state.header(), Events: events}, s.changed
}

// notify sends a progress notice, unless changes wait to be sent.
func (s *Server) notify(w http.ResponseWriter, watch *watch) {
	s.mu.Lock()
	h := s.state.header()
	quiet := watch.create.ProgressNotify && !watch.frozen && watch.seen >= h.Revision
	s.mu.Unlock()
	if quiet {
		send(w, v3json.WatchResponse{Header: h})
	}
}

func send(w http.ResponseWriter, res v3json.WatchResponse) {
	if err := json.NewEncoder(w).Encode(v3json.WatchMessage{Result: &res}); err != nil {
		return
	}
	_ = http.NewResponseController(w).Flush()
}
