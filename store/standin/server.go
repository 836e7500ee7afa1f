package standin

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

// Server is an http.Handler that serves one in-memory store. It is safe for concurrent
// use.
type Server struct {
	opts Options
	mux  *http.ServeMux
	tomb tomb.Tomb

	mu           sync.Mutex
	state        *state
	snapshot     *state
	faults       Faults
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	counters     Counters
	watches      map[*watch]struct{}
	changed      chan struct{} // closed and replaced when watches have to check for changes
}

// New starts a Server.
func New(opts Options) *Server {
	s := &Server{
		opts:    opts.withDefaults(),
		mux:     http.NewServeMux(),
		state:   newState(),
		watches: make(map[*watch]struct{}),
		changed: make(chan struct{}),
	}
	s.routes()
	s.tomb.Go(s.run)
	return s
}

// Close ends all watches and hanging calls and waits for the Server's own goroutine.
func (s *Server) Close() {
	s.tomb.Kill(nil)
	_ = s.tomb.Wait()
}

// ServeHTTP serves the API and the control paths.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// run removes expired leases periodically, unless Options.Now is set.
func (s *Server) run() error {
	if s.opts.Now != nil {
		<-s.tomb.Dying()
		return nil
	}
	ticker := time.NewTicker(DefaultLeaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.Expire()
		case <-s.tomb.Dying():
			return nil
		}
	}
}

// Expire removes the leases that have expired by the Server's clock.
func (s *Server) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
}

func (s *Server) expire() {
	oldRevision := s.state.revision
	s.state.expireLeases(s.now())
	s.notifyIfChanged(oldRevision)
}

func (s *Server) now() time.Time {
	if s.opts.Now != nil {
		return s.opts.Now()
	}
	return time.Now()
}

// notifyIfChanged trims the history and wakes the watches if the revision differs from
// oldRevision.
func (s *Server) notifyIfChanged(oldRevision int64) {
	if s.state.revision == oldRevision {
		return
	}
	s.state.trimHistory(s.opts.MaxHistory)
	s.notifyWatches()
}

func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watches {
		w.frozen = w.frozen || f.FreezeWatches
		w.cut = w.cut || f.CutWatches || f.Down != ""
	}
	f.CutWatches, f.FreezeWatches = false, false
	s.faults = f
	s.readLimiter, s.writeLimiter = newLimiter(f.MaxReads), newLimiter(f.MaxWrites)
	s.notifyWatches()
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Faults returns the active faults. LoseReplies and LoseRequests count down as they are
// used.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counters returns the number of calls received so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Snapshot saves a copy of the state for Restore.
func (s *Server) Snapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = s.state.clone()
}

// Restore restores the last Snapshot, or an empty store, as a restore from a backup
// does: revisions decrease, leases start again with their full TTL, watches are closed,
// and the cluster ID changes.
func (s *Server) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldClusterID := s.state.clusterID
	s.state = newState()
	if s.snapshot != nil {
		s.state = s.snapshot.clone()
	}
	s.state.clusterID = oldClusterID + 1
	for _, l := range s.state.leases {
		l.expires = s.now().Add(l.ttl)
	}
	for w := range s.watches {
		w.cut = true
	}
	s.notifyWatches()
}

// Compact drops all history before the latest revision.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.compact(s.state.revision)
}

// Revision returns the latest revision.
func (s *Server) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.revision
}

func (s *Server) handleRange(req *v3json.RangeRequest) (*v3json.RangeResponse, *apiError) {
	rev := req.Revision
	if rev == 0 {
		rev = s.state.revision
	}
	if rev < s.state.compactRevision {
		return nil, newAPIError(v3json.CodeOutOfRange, v3json.MsgCompacted)
	}
	if rev > s.state.revision {
		return nil, newAPIError(v3json.CodeOutOfRange, v3json.MsgFutureRevision)
	}
	res := &v3json.RangeResponse{Header: s.state.header()}
	res.Kvs = s.state.list(req.Key, req.RangeEnd, rev)
	if limit := int(req.Limit); limit > 0 && len(res.Kvs) > limit {
		res.Kvs = res.Kvs[:limit]
		res.More = true
	}
	if req.KeysOnly {
		dropValues(res.Kvs)
	}
	return res, nil
}

func dropValues(kvs []v3json.KeyValue) {
	for i := range kvs {
		kvs[i].Value = nil
	}
}
