package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"goji.io/pat"

	"github.com/eelgrasshub/eelgrasshub/target"
)

const (
	taskRoute = target.PathTasks + "/:job/:attempt"
	maxWait   = time.Minute
)

func taskID(r *http.Request) (target.TaskID, error) {
	attempt, err := strconv.Atoi(pat.Param(r, "attempt"))
	if err != nil {
		return target.TaskID{}, fmt.Errorf("attempt: must be a number")
	}
	return target.TaskID{Job: pat.Param(r, "job"), Attempt: attempt}, nil
}

func (s *Server) putTask(w http.ResponseWriter, r *http.Request) {
	id, err := taskID(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var spec target.TaskSpec
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&spec); err != nil {
		http.Error(w, "spec: "+err.Error(), http.StatusBadRequest)
		return
	}
	payload, err := parsePayload(spec.Payload)
	if err == nil && spec.LeaseMS <= 0 {
		err = fmt.Errorf("lease_ms: must be more than 0")
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.holdStart()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Reject {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	t, err := s.start(id, spec, payload)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	writeJSON(w, t.status(time.Now()))
}

// find returns the task named by the request, or answers the request itself.
func (s *Server) find(w http.ResponseWriter, r *http.Request) *task {
	id, err := taskID(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	t := s.tasks[id]
	if t == nil {
		http.Error(w, "no such task", http.StatusNotFound)
	}
	return t
}

func (s *Server) getTask(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.find(w, r)
	s.mu.Unlock()
	if t == nil {
		return
	}
	ms, _ := strconv.ParseInt(r.URL.Query().Get(target.ParamWaitMS), 10, 64)
	if ms > 0 {
		s.waitTask(r, t, min(msToDuration(ms), maxWait))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.forgotten {
		panic(http.ErrAbortHandler) // its process has crashed under the call
	}
	writeJSON(w, t.status(time.Now()))
}

func (s *Server) waitTask(r *http.Request, t *task, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-t.done:
	case <-timer.C:
	case <-s.closed:
	case <-r.Context().Done():
	}
}

// listTasks answers an agent that was started, and fences its earlier lives.
func (s *Server) listTasks(w http.ResponseWriter, r *http.Request) {
	incarnation, _ := strconv.ParseUint(r.URL.Query().Get(target.ParamIncarnation), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agent = max(s.agent, incarnation)
	now := time.Now()
	list := []target.TaskStatus{}
	for _, t := range s.tasks {
		list = append(list, t.status(now))
	}
	slices.SortFunc(list, func(a, b target.TaskStatus) int { return a.StartedAt.Compare(b.StartedAt) })
	writeJSON(w, list)
}

func (s *Server) renewTask(w http.ResponseWriter, r *http.Request) {
	var renewal target.LeaseRenewal
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&renewal)
	if err != nil || renewal.LeaseMS <= 0 {
		http.Error(w, "lease_ms: must be a number above 0", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.find(w, r)
	if t == nil {
		return
	}
	now := time.Now()
	if !t.state.Final() {
		t.leaseEnd = now.Add(msToDuration(renewal.LeaseMS))
		t.leaseTimer.Reset(msToDuration(renewal.LeaseMS))
	}
	writeJSON(w, t.status(now))
}

func (s *Server) checkpointTask(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.find(w, r)
	if t == nil {
		return
	}
	now := time.Now()
	if !t.state.Final() && t.spec.Checkpointable {
		t.checkpoint = t.newCheckpoint(t.progress(now), now)
	}
	writeJSON(w, t.status(now))
}

func (s *Server) deleteTask(w http.ResponseWriter, r *http.Request) {
	id, err := taskID(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	t := s.tasks[id]
	if t == nil {
		t = s.bury(id)
	}
	save := r.URL.Query().Get(target.ParamCheckpoint) == "true"
	if save && !t.state.Final() && t.spec.Checkpointable {
		t.checkpoint = t.newCheckpoint(t.progress(now), now)
	}
	s.finish(t, target.TaskStopped, "stopped by the agent")
	writeJSON(w, t.status(now))
}
