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
	taskRoute     = target.PathTasks + "/:job/:attempt"
	maxStatusWait = time.Minute
)

func parseTaskID(r *http.Request) (target.TaskID, error) {
	attempt, err := strconv.Atoi(pat.Param(r, "attempt"))
	if err != nil {
		return target.TaskID{}, fmt.Errorf("attempt: must be a number")
	}
	return target.TaskID{Job: pat.Param(r, "job"), Attempt: attempt}, nil
}

func (s *Server) putTask(w http.ResponseWriter, r *http.Request) {
	id, err := parseTaskID(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var spec target.TaskSpec
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&spec); err != nil {
		http.Error(w, "spec: "+err.Error(), http.StatusBadRequest)
		return
	}
	payload, err := parseTaskPayload(spec.Payload)
	if err == nil && spec.LeaseMS <= 0 {
		err = fmt.Errorf("lease_ms: must be more than 0")
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.delayStart()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Reject {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	t, err := s.startTask(id, spec, payload)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	writeJSON(w, t.status(time.Now()))
}

// findTask returns the task that the request names, or responds with an error and returns
// nil. The caller holds the lock.
func (s *Server) findTask(w http.ResponseWriter, r *http.Request) *task {
	id, err := parseTaskID(r)
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
	t := s.findTask(w, r)
	s.mu.Unlock()
	if t == nil {
		return
	}
	ms, _ := strconv.ParseInt(r.URL.Query().Get(target.ParamWaitMS), 10, 64)
	if ms > 0 {
		s.waitTask(r, t, min(msToDuration(ms), maxStatusWait))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.lostInRestart {
		panic(http.ErrAbortHandler) // the stand-in was restarted during the call
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

// listTasks lists the tasks for a restarted agent and fences its earlier incarnations.
func (s *Server) listTasks(w http.ResponseWriter, r *http.Request) {
	incarnation, _ := strconv.ParseUint(r.URL.Query().Get(target.ParamIncarnation), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agentIncarnation = max(s.agentIncarnation, incarnation)
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
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&renewal)
	if err != nil || renewal.LeaseMS <= 0 {
		http.Error(w, "lease_ms: must be a number above 0", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.findTask(w, r)
	if t == nil {
		return
	}
	now := time.Now()
	if !t.state.Final() {
		t.leaseExpiresAt = now.Add(msToDuration(renewal.LeaseMS))
		t.leaseTimer.Reset(msToDuration(renewal.LeaseMS))
	}
	writeJSON(w, t.status(now))
}

func (s *Server) checkpointTask(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.findTask(w, r)
	if t == nil {
		return
	}
	now := time.Now()
	if !t.state.Final() && t.spec.Checkpointable {
		t.checkpoint = t.newCheckpoint(t.progressMS(now), now)
	}
	writeJSON(w, t.status(now))
}

func (s *Server) deleteTask(w http.ResponseWriter, r *http.Request) {
	id, err := parseTaskID(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	t := s.tasks[id]
	if t == nil {
		t = s.addStoppedTask(id)
	}
	takeCheckpoint := r.URL.Query().Get(target.ParamCheckpoint) == "true"
	if takeCheckpoint && !t.state.Final() && t.spec.Checkpointable {
		t.checkpoint = t.newCheckpoint(t.progressMS(now), now)
	}
	s.finishTask(t, target.TaskStopped, "stopped by the agent")
	writeJSON(w, t.status(now))
}
