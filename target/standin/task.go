package standin

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/target"
)

const (
	// injectedFailureAfterMS is the progress after which Faults.FailTasks makes a task fail.
	injectedFailureAfterMS = 1
	reasonLeaseExpired     = "lease was not renewed"
)

// task is one task on the worker. The server's mutex guards it.
type task struct {
	id      target.TaskID
	spec    target.TaskSpec
	payload TaskPayload
	// slowdown multiplies the run time.
	slowdown  float64
	state     target.TaskState
	errorText string
	// finalProgressMS is the progress once the state is final.
	finalProgressMS int64
	checkpoint      *target.Checkpoint
	auditRun        *TaskRun
	startedAt       time.Time
	endedAt         time.Time
	leaseExpiresAt  time.Time
	endTimer        *time.Timer
	leaseTimer      *time.Timer
	done            chan struct{} // closed when the state becomes final
	lostInRestart   bool          // the worker has been restarted since
}

// startTask starts the task or returns the same one if it was started before. The error
// tells why the start was refused, in which case nothing has run.
func (s *Server) startTask(id target.TaskID, spec target.TaskSpec, p TaskPayload) (*task, error) {
	if t := s.tasks[id]; t != nil {
		return t, s.checkSameTask(t, spec)
	}
	if err := s.checkSpec(id, spec); err != nil {
		return nil, err
	}
	t := &task{id: id, spec: spec, payload: p, slowdown: s.faults.slowdown(), state: target.TaskRunning,
		startedAt: time.Now(), checkpoint: spec.Restore, done: make(chan struct{})}
	if s.faults.FailTasks {
		t.payload.Fail = true
		t.payload.FailAfterMS = t.restoredMS() + injectedFailureAfterMS
	}
	s.tasks[id] = t
	s.jobEpochs[id.Job] = spec.Epoch
	s.agentIncarnation = max(s.agentIncarnation, spec.Incarnation)
	for _, a := range spec.Accelerators {
		s.acceleratorHolders[a] = t
	}
	s.recordTask(t)
	remainingMS := max(0, t.payload.totalWorkMS()-t.restoredMS())
	t.endTimer = time.AfterFunc(time.Duration(float64(msToDuration(remainingMS))*t.slowdown), func() { s.handleEndTimer(t) })
	t.leaseExpiresAt = t.startedAt.Add(msToDuration(spec.LeaseMS))
	t.leaseTimer = time.AfterFunc(msToDuration(spec.LeaseMS), func() { s.handleLeaseTimer(t) })
	return t, nil
}

// checkSameTask returns an error if the task under this ID was started with a different
// spec. Leases and epochs are not compared: they differ when a start is repeated.
func (s *Server) checkSameTask(t *task, spec target.TaskSpec) error {
	if t.auditRun == nil {
		return nil // stopped before its start
	}
	same := slices.Equal(t.spec.Accelerators, spec.Accelerators) &&
		t.spec.Member == spec.Member && t.spec.Members == spec.Members &&
		bytes.Equal(t.spec.Payload, spec.Payload)
	if same {
		return nil
	}
	s.recordViolation(ViolationTaskIDReused, "%s/%d", t.id.Job, t.id.Attempt)
	return fmt.Errorf("task id is taken by a different task")
}

func (s *Server) checkSpec(id target.TaskID, spec target.TaskSpec) error {
	if spec.Epoch < s.jobEpochs[id.Job] {
		return fmt.Errorf("epoch %d is older than %d", spec.Epoch, s.jobEpochs[id.Job])
	}
	if spec.Incarnation < s.agentIncarnation {
		return fmt.Errorf("the agent was restarted since: incarnation %d is older than %d", spec.Incarnation, s.agentIncarnation)
	}
	for _, a := range spec.Accelerators {
		if a < 0 || a >= len(s.acceleratorHolders) {
			return fmt.Errorf("accelerator %d: no such accelerator", a)
		}
		if holder := s.acceleratorHolders[a]; holder != nil {
			s.recordViolation(ViolationAcceleratorShared, "accelerator %d: %s/%d while %s/%d runs",
				a, id.Job, id.Attempt, holder.id.Job, holder.id.Attempt)
			return fmt.Errorf("accelerator %d is taken by %s/%d", a, holder.id.Job, holder.id.Attempt)
		}
	}
	return nil
}

func (s *Server) recordTask(t *task) {
	t.auditRun = &TaskRun{
		TaskID:       t.id,
		Tag:          t.payload.Tag,
		Account:      t.spec.Account,
		Class:        t.spec.Class,
		Member:       t.spec.Member,
		Members:      t.spec.Members,
		Accelerators: t.spec.Accelerators,
		RestoredMS:   t.restoredMS(),
		Start:        t.startedAt,
		Outcome:      target.TaskRunning,
	}
	if s.canRecord() {
		s.taskRuns = append(s.taskRuns, t.auditRun)
	}
}

// handleEndTimer ends a task whose work is done. If the whole worker was suspended both
// timers are due, and an expired lease takes precedence.
func (s *Server) handleEndTimer(t *task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().After(t.leaseExpiresAt) {
		s.finishTask(t, target.TaskExpired, reasonLeaseExpired)
		return
	}
	if t.payload.Fail {
		s.finishTask(t, target.TaskFailed, "failed as told")
		return
	}
	s.finishTask(t, target.TaskDone, "")
}

// handleLeaseTimer stops a task whose lease has expired, so that the accelerators of a
// dead agent come free. If the lease was renewed meanwhile, leaseExpiresAt is later.
func (s *Server) handleLeaseTimer(t *task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(t.leaseExpiresAt) {
		return
	}
	s.finishTask(t, target.TaskExpired, reasonLeaseExpired)
}

// finishTask brings t to a final state unless it is in one already.
func (s *Server) finishTask(t *task, state target.TaskState, reason string) {
	if t.state.Final() {
		return
	}
	t.finalProgressMS = t.progressMS(time.Now())
	if state == target.TaskDone || state == target.TaskFailed {
		t.finalProgressMS = max(t.restoredMS(), t.payload.totalWorkMS())
	}
	t.checkpoint = t.latestCheckpoint(t.finalProgressMS)
	t.state, t.errorText, t.endedAt = state, reason, time.Now()
	t.endTimer.Stop()
	t.leaseTimer.Stop()
	t.auditRun.End, t.auditRun.Outcome, t.auditRun.ProgressMS = t.endedAt, state, t.finalProgressMS
	for _, a := range t.spec.Accelerators {
		s.acceleratorHolders[a] = nil
	}
	s.addEndedTask(t.id)
	close(t.done)
}

// addEndedTask adds an ended task and drops the oldest beyond MaxEndedTasks.
func (s *Server) addEndedTask(id target.TaskID) {
	s.endedTasks = append(s.endedTasks, id)
	if len(s.endedTasks) <= s.opts.MaxEndedTasks {
		return
	}
	oldest := s.endedTasks[0]
	s.endedTasks = s.endedTasks[1:]
	delete(s.tasks, oldest)
	delete(s.jobEpochs, oldest.Job)
}

// addStoppedTask records a task that never started here as stopped.
func (s *Server) addStoppedTask(id target.TaskID) *task {
	now := time.Now()
	t := &task{id: id, state: target.TaskStopped, errorText: "stopped before its start",
		startedAt: now, endedAt: now, done: make(chan struct{})}
	close(t.done)
	s.tasks[id] = t
	s.addEndedTask(id)
	return t
}
