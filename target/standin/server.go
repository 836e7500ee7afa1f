package standin

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"goji.io"
	"goji.io/pat"

	"github.com/eelgrasshub/eelgrasshub/target"
)

// Paths for controlling the stand-in, below its base URL.
const (
	// PathAudit returns an Audit for GET and resets the log for DELETE.
	PathAudit = "/standin/audit"
	// PathFaults accepts Faults by POST.
	PathFaults = "/standin/faults"
)

// Server is a fake target and worker. It is an http.Handler, safe for concurrent use.
// Serve it with [Server.HTTPServer] to have its connections counted.
type Server struct {
	opts       Options
	mux        *goji.Mux
	closed     chan struct{}
	heldStarts atomic.Int64

	mu                 sync.Mutex
	faults             Faults
	faultsChanged      chan struct{} // closed when the faults change
	quickReceived      int           // number of quick requests that consulted the faults
	quickRunning       int
	tasks              map[target.TaskID]*task
	endedTasks         []target.TaskID // oldest first
	acceleratorHolders []*task         // by accelerator index
	jobEpochs          map[string]uint64
	agentIncarnation   uint64 // highest one received from the agent
	conns              map[any]*connState
	protocolConns      int // open connections that carried a protocol request
	lastUsage          target.Usage
	quickRuns          []*QuickRun
	taskRuns           []*TaskRun
	violations         []Violation
	droppedRecords     int
}

// New returns a stand-in that injects no faults.
func New(o Options) *Server {
	o = o.withDefaults()
	s := &Server{
		opts:               o,
		closed:             make(chan struct{}),
		faultsChanged:      make(chan struct{}),
		tasks:              map[target.TaskID]*task{},
		acceleratorHolders: make([]*task, o.Accelerators),
		jobEpochs:          map[string]uint64{},
		conns:              map[any]*connState{},
	}
	s.mux = s.routes()
	return s
}

// Close stops all tasks and releases hanging requests. It does not close connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.closed:
		return
	default:
	}
	close(s.closed)
	for _, t := range s.tasks {
		s.finishTask(t, target.TaskStopped, "worker stopped")
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Server) routes() *goji.Mux {
	m := goji.NewMux()
	m.HandleFunc(pat.Get(PathAudit), s.getAudit)
	m.HandleFunc(pat.Delete(PathAudit), s.deleteAudit)
	m.HandleFunc(pat.Post(PathFaults), s.postFaults)
	m.HandleFunc(pat.New(target.PathRequests+"*"), s.protocolHandler(s.handleQuick))
	m.HandleFunc(pat.Get(target.PathTasks), s.protocolHandler(s.listTasks))
	m.HandleFunc(pat.Put(taskRoute), s.protocolHandler(s.putTask))
	m.HandleFunc(pat.Get(taskRoute), s.protocolHandler(s.getTask))
	m.HandleFunc(pat.Delete(taskRoute), s.protocolHandler(s.deleteTask))
	m.HandleFunc(pat.Post(taskRoute+"/renew"), s.protocolHandler(s.renewTask))
	m.HandleFunc(pat.Post(taskRoute+"/checkpoint"), s.protocolHandler(s.checkpointTask))
	m.HandleFunc(pat.Get(target.PathCapacity), s.protocolHandler(s.getCapacity))
	m.HandleFunc(pat.Get(target.PathUsage), s.protocolHandler(s.getUsage))
	return m
}

// protocolHandler wraps a handler of the target protocol. It counts the connection as one
// of the worker's, and with Faults.Hang leaves the request unanswered.
func (s *Server) protocolHandler(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.countConn(r.Context())
		s.mu.Lock()
		hang := s.faults.Hang && s.faults.EveryNth <= 1
		s.mu.Unlock()
		if hang {
			s.hang(r)
		}
		h(w, r)
	}
}

// hang waits until the caller disconnects, the faults change or the stand-in is closed,
// and then closes the connection. It does not return.
func (s *Server) hang(r *http.Request) {
	s.mu.Lock()
	faultsChanged := s.faultsChanged
	s.mu.Unlock()
	// net/http detects that the caller has disconnected only after the body was read.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes))
	select {
	case <-r.Context().Done():
	case <-faultsChanged:
	case <-s.closed:
	}
	panic(http.ErrAbortHandler)
}

// delayStart delays the start of a task while Faults.HoldStarts is set.
func (s *Server) delayStart() {
	s.mu.Lock()
	hold, faultsChanged := s.faults.HoldStarts, s.faultsChanged
	s.mu.Unlock()
	if !hold {
		return
	}
	s.heldStarts.Add(1)
	defer s.heldStarts.Add(-1)
	select {
	case <-faultsChanged:
	case <-s.closed:
	}
}

// AgentIncarnation returns the highest incarnation of the agent received.
func (s *Server) AgentIncarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agentIncarnation
}

// HeldStarts returns the number of starts that Faults.HoldStarts delays.
func (s *Server) HeldStarts() int { return int(s.heldStarts.Load()) }

// sleep waits for d and returns false if the stand-in was closed first.
func (s *Server) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.closed:
		return false
	}
}

// Restart ends all tasks and discards all state but the audit, like a process that has
// crashed and runs again at the same address.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tasks {
		t.lostInRestart = true
		s.finishTask(t, target.TaskStopped, "worker restarted")
	}
	s.tasks = map[target.TaskID]*task{}
	s.jobEpochs = map[string]uint64{}
	s.endedTasks = nil
	s.agentIncarnation = 0
}
