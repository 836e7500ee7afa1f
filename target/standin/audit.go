package standin

import (
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/target"
)

// Audit is the log of what truly ran on one worker.
type Audit struct {
	WorkerName string      `json:"worker"`
	Quick      []QuickRun  `json:"quick"`
	Tasks      []TaskRun   `json:"tasks"`
	Violations []Violation `json:"violations"`
	// Dropped counts records beyond the bound. An audit with dropped records
	// proves nothing.
	Dropped int `json:"dropped"`
}

// QuickRun is one run of a quick request.
type QuickRun struct {
	RequestID string `json:"request"`
	Attempt   int    `json:"attempt"`
	// Tag is the query parameter "tag": the caller's own name for the request.
	Tag     string    `json:"tag,omitempty"`
	Account string    `json:"account"`
	Class   string    `json:"class"`
	Start   time.Time `json:"start"`
	// End is zero while it runs.
	End       time.Time `json:"end,omitzero"`
	Completed bool      `json:"completed"`
	// Abandoned says that the connection was gone at the end of the run.
	Abandoned bool `json:"abandoned,omitempty"`
	// Checksum is that of the answer's Echo.
	Checksum string `json:"checksum,omitempty"`
}

// TaskRun is one run of a task.
type TaskRun struct {
	target.TaskID
	Tag          string `json:"tag,omitempty"`
	Account      string `json:"account"`
	Class        string `json:"class"`
	Member       int    `json:"member"`
	Members      int    `json:"members"`
	Accelerators []int  `json:"accelerators"`
	// RestoredMS is the progress it began with, ProgressMS where it ended.
	RestoredMS int64     `json:"restored_ms"`
	ProgressMS int64     `json:"progress_ms"`
	Start      time.Time `json:"start"`
	// End is zero while it runs.
	End     time.Time        `json:"end,omitzero"`
	Outcome target.TaskState `json:"outcome"`
}

// ViolationKind names a rule of the worker that was broken by its user.
type ViolationKind string

// Kinds of violations.
const (
	// ViolationAcceleratorShared: a start on an accelerator that another task holds.
	// The start was refused.
	ViolationAcceleratorShared ViolationKind = "accelerator-shared"
	// ViolationTooManyConnections: more connections than the worker has.
	ViolationTooManyConnections ViolationKind = "too-many-connections"
	// ViolationTaskIDReused: a start under the id of a different task. Refused.
	ViolationTaskIDReused ViolationKind = "task-id-reused"
)

// Violation is one breach of a rule.
type Violation struct {
	Kind   ViolationKind `json:"kind"`
	At     time.Time     `json:"at"`
	Detail string        `json:"detail"`
}

// Audit returns a copy of the log.
func (s *Server) Audit() Audit {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := Audit{
		WorkerName: s.opts.Name,
		Quick:      make([]QuickRun, len(s.quickLog)),
		Tasks:      make([]TaskRun, len(s.taskLog)),
		Violations: append([]Violation{}, s.violations...),
		Dropped:    s.droppedRecords,
	}
	for i, r := range s.quickLog {
		a.Quick[i] = *r
	}
	for i, r := range s.taskLog {
		a.Tasks[i] = *r
	}
	return a
}

// ResetAudit forgets the log, but for runs in progress.
func (s *Server) ResetAudit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quickLog = filter(s.quickLog, func(r *QuickRun) bool { return r.End.IsZero() })
	s.taskLog = filter(s.taskLog, func(r *TaskRun) bool { return r.End.IsZero() })
	s.violations = nil
	s.droppedRecords = 0
}

func filter[T any](records []*T, keep func(*T) bool) []*T {
	var kept []*T
	for _, r := range records {
		if keep(r) {
			kept = append(kept, r)
		}
	}
	return kept
}

// canRecord reports whether one more record fits, and counts the one that doesn't.
func (s *Server) canRecord() bool {
	if len(s.quickLog)+len(s.taskLog) < s.opts.MaxAuditRecords {
		return true
	}
	s.droppedRecords++
	return false
}

func (s *Server) recordViolation(kind ViolationKind, format string, args ...any) {
	if len(s.violations) >= s.opts.MaxAuditRecords {
		s.droppedRecords++
		return
	}
	v := Violation{Kind: kind, At: time.Now(), Detail: fmt.Sprintf(format, args...)}
	s.violations = append(s.violations, v)
}
