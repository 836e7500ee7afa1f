package workload

import "time"

// JobID names a job. Callers choose it; a repeated submission carries the same.
type JobID string

// Job is what a caller handed in, with the terms of its queue as they were then.
// It never changes after acceptance.
type Job struct {
	ID          JobID       `json:"id" cbor:"1,keyasint"`
	Queue       string      `json:"queue" cbor:"2,keyasint"`
	Account     string      `json:"account,omitempty" cbor:"3,keyasint,omitempty"`
	Service     string      `json:"service" cbor:"4,keyasint"`
	Spec        string      `json:"spec,omitempty" cbor:"5,keyasint,omitempty"`
	Steps       []Step      `json:"steps" cbor:"6,keyasint"`
	QueuePolicy QueuePolicy `json:"terms" cbor:"7,keyasint"`
	// Schedule makes the steps run several times; the zero value means once, now.
	Schedule Schedule `json:"schedule,omitzero" cbor:"8,keyasint,omitzero"`
	// Submitted is wall time and only orders jobs.
	Submitted time.Time `json:"submitted" cbor:"9,keyasint"`
}

// QueuePolicy are how a queue treats its jobs.
type QueuePolicy struct {
	Priority    int     `json:"priority,omitempty" cbor:"1,keyasint,omitempty"` // 0 goes first and may evict the others
	MaxAttempts int     `json:"max_attempts,omitempty" cbor:"2,keyasint,omitempty"`
	Stretch     float64 `json:"stretch,omitempty" cbor:"3,keyasint,omitempty"`
	// TargetLatency is the share of the aim that does not grow with the work.
	TargetLatency time.Duration `json:"latency,omitempty" cbor:"4,keyasint,omitempty"`
	// Advice: only workers that the operators' advice service allows may run a step.
	Advice *Advice `json:"advice,omitempty" cbor:"5,keyasint,omitempty"`
}

// Advice is what a call to the advice service takes, and how long its tickets are valid.
type Advice struct {
	DecisionTime   time.Duration `json:"decision" cbor:"1,keyasint"`
	TimePerWorker  time.Duration `json:"interval" cbor:"2,keyasint"` // for each worker asked for
	TicketLifetime time.Duration `json:"valid" cbor:"3,keyasint"`
}

// Schedule is a job's occurrences in time.
type Schedule struct {
	First  time.Time     `json:"first,omitzero" cbor:"1,keyasint,omitzero"` // wall time
	Period time.Duration `json:"period,omitempty" cbor:"2,keyasint,omitempty"`
	Count  int           `json:"count,omitempty" cbor:"3,keyasint,omitempty"`
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Schedule.Count) }

// Due returns when occurrence k is due, and false for a job without a schedule.
func (j *Job) Due(k int) (time.Time, bool) {
	if j.Schedule.Count == 0 {
		return time.Time{}, false
	}
	return j.Schedule.First.Add(time.Duration(k) * j.Schedule.Period), true
}

// CriticalPaths returns, for each step, the longest chain of work from that step on, where a step
// takes what expect says.
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
