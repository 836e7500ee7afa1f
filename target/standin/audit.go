package standin

import (
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/target"
)

// Audit is the log of what actually ran on one worker.
type Audit struct {
	WorkerName string      `json:"worker"`
	Quick      []QuickRun  `json:"quick"`
	Tasks      []TaskRun   `json:"tasks"`
	Violations []Violation `json:"violations"`
	// Dropped is the number of records beyond MaxAuditRecords. If it is not 0 the audit
	// is incomplete.
	Dropped int `json:"dropped"`
}

// QuickRun is one run of a quick request.
type QuickRun struct {
	RequestID string `json:"request"`
	Attempt   int    `json:"attempt"`
	// Tag is the query parameter ParamTag, by which the caller identifies the request.
	Tag     string    `json:"tag,omitempty"`
	Account string    `json:"account"`
	Class   string    `json:"class"`
	Start   time.Time `json:"start"`
	// End is zero while the request runs.
	End time.Time `json:"end,omitzero"`
	// Completed reports whether the run ended before the stand-in was closed.
	Completed bool `json:"completed"`
	// Abandoned reports whether the caller's connection was closed by the end of the run.
	Abandoned bool `json:"abandoned,omitempty"`
	// Checksum is that of the Echo in the response.
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
	// RestoredMS is the progress at the start, ProgressMS that at the end.
	RestoredMS int64     `json:"restored_ms"`
	ProgressMS int64     `json:"progress_ms"`
	Start      time.Time `json:"start"`
	// End is zero while the task runs.
	End     time.Time        `json:"end,omitzero"`
	Outcome target.TaskState `json:"outcome"`
}

// ViolationKind identifies a rule of the worker that its agent has broken.
type ViolationKind string

// Kinds of violations.
const (
	// ViolationAcceleratorShared is a start on an accelerator that another task uses.
	// The start was refused.
	ViolationAcceleratorShared ViolationKind = "accelerator-shared"
	// ViolationTooManyConnections means that more connections were open than
	// Options.Connections.
	ViolationTooManyConnections ViolationKind = "too-many-connections"
	// ViolationTaskIDReused is a start under the ID of a different task. It was refused.
	ViolationTaskIDReused ViolationKind = "task-id-reused"
)

// Violation is one violation of a rule.
type Violation struct {
	Kind   ViolationKind `json:"kind"`
	At     time.Time     `json:"at"`
	Detail string        `json:"detail"`
}

// Audit returns a copy of the audit log.
func (s *Server) Audit() Audit {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := Audit{
		WorkerName: s.opts.Name,
		Quick:      make([]QuickRun, len(s.quickRuns)),
		Tasks:      make([]TaskRun, len(s.taskRuns)),
		Violations: append([]Violation{}, s.violations...),
		Dropped:    s.droppedRecords,
	}
	for i, r := range s.quickRuns {
		a.Quick[i] = *r
	}
	for i, r := range s.taskRuns {
		a.Tasks[i] = *r
	}
	return a
}

// ResetAudit clears the log except for runs in progress.
func (s *Server) ResetAudit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quickRuns = filter(s.quickRuns, func(r *QuickRun) bool { return r.End.IsZero() })
	s.taskRuns = filter(s.taskRuns, func(r *TaskRun) bool { return r.End.IsZero() })
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

// canRecord reports whether the log has space for one more record, and counts a dropped
// record otherwise.
func (s *Server) canRecord() bool {
	if len(s.quickRuns)+len(s.taskRuns) < s.opts.MaxAuditRecords {
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
