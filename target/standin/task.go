package standin

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/target"
)

const (
	failTaskAfterMS = 1
	leaseLapsed     = "lease was not renewed"
)

// task is one task on the worker. The server's mutex guards it.
type task struct {
	id      target.TaskID
	spec    target.TaskSpec
	payload TaskPayload
	// slow multiplies its run time.
	slow  float64
	state target.TaskState
	err   string
	// frozen is the progress in a final state.
	frozen     int64
	checkpoint *target.Checkpoint
	run        *TaskRun
	started    time.Time
	end        time.Time
	leaseEnd   time.Time
	endTimer   *time.Timer
	leaseTimer *time.Timer
	done       chan struct{} // closed in a final state
	forgotten  bool          // the worker was restarted since
}

// start runs the task or returns the same one started before. The error says
// which rule refuses the start; nothing has run then.
func (s *Server) start(id target.TaskID, spec target.TaskSpec, p TaskPayload) (*task, error) {
	if t := s.tasks[id]; t != nil {
		return t, s.sameTask(t, spec)
	}
	if err := s.checkSpec(id, spec); err != nil {
		return nil, err
	}
	t := &task{id: id, spec: spec, payload: p, slow: s.faults.slow(), state: target.TaskRunning,
		started: time.Now(), checkpoint: spec.Restore, done: make(chan struct{})}
	if s.faults.FailTasks {
		t.payload.Fail = true
		t.payload.FailAfterMS = t.restored() + failTaskAfterMS
	}
	s.tasks[id] = t
	s.epochs[id.Job] = spec.Epoch
	s.agent = max(s.agent, spec.Incarnation)
	for _, a := range spec.Accelerators {
		s.holders[a] = t
	}
	s.logTask(t)
	left := max(0, t.payload.workMS()-t.restored())
	t.endTimer = time.AfterFunc(time.Duration(float64(msToDuration(left))*t.slow), func() { s.workEnded(t) })
	t.leaseEnd = t.started.Add(msToDuration(spec.LeaseMS))
	t.leaseTimer = time.AfterFunc(msToDuration(spec.LeaseMS), func() { s.leaseEnded(t) })
	return t, nil
}

// sameTask reports a start under the id of a task with other content. A lease
// or epoch of another attempt to start it is no difference.
func (s *Server) sameTask(t *task, spec target.TaskSpec) error {
	if t.run == nil {
		return nil // stopped before its start
	}
	same := slices.Equal(t.spec.Accelerators, spec.Accelerators) &&
		t.spec.Member == spec.Member && t.spec.Members == spec.Members &&
		bytes.Equal(t.spec.Payload, spec.Payload)
	if same {
		return nil
	}
	s.violate(ViolationTaskIDReused, "%s/%d", t.id.Job, t.id.Attempt)
	return fmt.Errorf("task id is taken by a different task")
}

func (s *Server) checkSpec(id target.TaskID, spec target.TaskSpec) error {
	if spec.Epoch < s.epochs[id.Job] {
		return fmt.Errorf("epoch %d is older than %d", spec.Epoch, s.epochs[id.Job])
	}
	if spec.Incarnation < s.agent {
		return fmt.Errorf("the agent was restarted since: incarnation %d is older than %d", spec.Incarnation, s.agent)
	}
	for _, a := range spec.Accelerators {
		if a < 0 || a >= len(s.holders) {
			return fmt.Errorf("accelerator %d: no such accelerator", a)
		}
		if h := s.holders[a]; h != nil {
			s.violate(ViolationAcceleratorShared, "accelerator %d: %s/%d while %s/%d runs",
				a, id.Job, id.Attempt, h.id.Job, h.id.Attempt)
			return fmt.Errorf("accelerator %d is taken by %s/%d", a, h.id.Job, h.id.Attempt)
		}
	}
	return nil
}

func (s *Server) logTask(t *task) {
	t.run = &TaskRun{
		TaskID:       t.id,
		Tag:          t.payload.Tag,
		Account:      t.spec.Account,
		Class:        t.spec.Class,
		Member:       t.spec.Member,
		Members:      t.spec.Members,
		Accelerators: t.spec.Accelerators,
		RestoredMS:   t.restored(),
		Start:        t.started,
		Outcome:      target.TaskRunning,
	}
	if s.room() {
		s.taskLog = append(s.taskLog, t.run)
	}
}

// workEnded ends a task whose work is done. After a pause of the whole worker both
// timers are due, and what was due first counts: a lease that has lapsed.
func (s *Server) workEnded(t *task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().After(t.leaseEnd) {
		s.finish(t, target.TaskExpired, leaseLapsed)
		return
	}
	if t.payload.Fail {
		s.finish(t, target.TaskFailed, "failed as told")
		return
	}
	s.finish(t, target.TaskDone, "")
}

// leaseEnded stops a task whose agent is gone, so that its accelerators come
// free without it. A renewal that came meanwhile has moved leaseEnd.
func (s *Server) leaseEnded(t *task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(t.leaseEnd) {
		return
	}
	s.finish(t, target.TaskExpired, leaseLapsed)
}

// finish brings t to a final state; one that has ended stays as it is.
func (s *Server) finish(t *task, state target.TaskState, reason string) {
	if t.state.Final() {
		return
	}
	t.frozen = t.progress(time.Now())
	if state == target.TaskDone || state == target.TaskFailed {
		t.frozen = max(t.restored(), t.payload.workMS())
	}
	t.checkpoint = t.latestCheckpoint(t.frozen)
	t.state, t.err, t.end = state, reason, time.Now()
	t.endTimer.Stop()
	t.leaseTimer.Stop()
	t.run.End, t.run.Outcome, t.run.ProgressMS = t.end, state, t.frozen
	for _, a := range t.spec.Accelerators {
		s.holders[a] = nil
	}
	s.forget(t.id)
	close(t.done)
}

// forget adds an ended task and drops the oldest beyond the bound.
func (s *Server) forget(id target.TaskID) {
	s.ended = append(s.ended, id)
	if len(s.ended) <= s.opts.MaxEndedTasks {
		return
	}
	old := s.ended[0]
	s.ended = s.ended[1:]
	delete(s.tasks, old)
	delete(s.epochs, old.Job)
}

// bury marks a task stopped that never started here.
func (s *Server) bury(id target.TaskID) *task {
	now := time.Now()
	t := &task{id: id, state: target.TaskStopped, err: "stopped before its start",
		started: now, end: now, done: make(chan struct{})}
	close(t.done)
	s.tasks[id] = t
	s.forget(id)
	return t
}
