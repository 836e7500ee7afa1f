package workload

import "time"

// JobID identifies a job. The caller chooses it and reuses it when it repeats a submission.
type JobID string

// Job is a submitted job with the policy that its queue had at submission. It does not change
// after acceptance.
type Job struct {
	ID          JobID       `json:"id" cbor:"1,keyasint"`
	Queue       string      `json:"queue" cbor:"2,keyasint"`
	Account     string      `json:"account,omitempty" cbor:"3,keyasint,omitempty"`
	Service     string      `json:"service" cbor:"4,keyasint"`
	Spec        string      `json:"spec,omitempty" cbor:"5,keyasint,omitempty"`
	Steps       []Step      `json:"steps" cbor:"6,keyasint"`
	QueuePolicy QueuePolicy `json:"terms" cbor:"7,keyasint"`
	// Schedule makes the steps run repeatedly; the zero value means once, immediately.
	Schedule Schedule `json:"schedule,omitzero" cbor:"8,keyasint,omitzero"`
	// Submitted is wall-clock time. It is used only to order jobs.
	Submitted time.Time `json:"submitted" cbor:"9,keyasint"`
}

// QueuePolicy is how a queue schedules its jobs.
type QueuePolicy struct {
	Priority    int `json:"priority,omitempty" cbor:"1,keyasint,omitempty"`     // 0 is the highest and may evict the others
	MaxAttempts int `json:"max_attempts,omitempty" cbor:"2,keyasint,omitempty"` // failed runs of a task until its job fails; 0 means no limit
	// Stretch times the duration of the critical path is the part of the completion objective
	// that depends on the work; 0 counts as 1.
	Stretch float64 `json:"stretch,omitempty" cbor:"3,keyasint,omitempty"`
	// TargetLatency is the part of the completion objective that does not depend on the work.
	TargetLatency time.Duration `json:"latency,omitempty" cbor:"4,keyasint,omitempty"`
	// Advice is set if a step may run only on workers that the operators' advice service
	// allows.
	Advice *Advice `json:"advice,omitempty" cbor:"5,keyasint,omitempty"`
}

// Advice describes the cost of a call to the advice service and the lifetime of its tickets.
type Advice struct {
	DecisionTime   time.Duration `json:"decision" cbor:"1,keyasint"`
	TimePerWorker  time.Duration `json:"interval" cbor:"2,keyasint"` // for each worker in the request
	TicketLifetime time.Duration `json:"valid" cbor:"3,keyasint"`
}

// Schedule lists the times at which a job's steps run.
type Schedule struct {
	First  time.Time     `json:"first,omitzero" cbor:"1,keyasint,omitzero"` // wall-clock time
	Period time.Duration `json:"period,omitempty" cbor:"2,keyasint,omitempty"`
	Count  int           `json:"count,omitempty" cbor:"3,keyasint,omitempty"`
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Schedule.Count) }

// Due returns when occurrence k (from 0) is due, and false for a job without a schedule.
func (j *Job) Due(k int) (time.Time, bool) {
	if j.Schedule.Count == 0 {
		return time.Time{}, false
	}
	return j.Schedule.First.Add(time.Duration(k) * j.Schedule.Period), true
}

// CriticalPaths returns for each step the duration of the longest chain of dependent steps
// that starts with it, given the duration of each step.
func (j *Job) CriticalPaths(estimate func(*Step) time.Duration) []time.Duration {
	longest := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		longest[i] += estimate(&j.Steps[i])
		for _, dep := range j.Steps[i].DependsOn {
			longest[dep] = max(longest[dep], longest[i])
		}
	}
	return longest
}
