package workload

import "time"

// Step is a number of identical tasks of a job.
type Step struct {
	Count    int           `json:"n" cbor:"1,keyasint"`
	Need     Resources     `json:"need" cbor:"2,keyasint"` // of each task
	Estimate time.Duration `json:"est,omitempty" cbor:"3,keyasint,omitempty"`
	// DependsOn lists earlier steps whose tasks must all be done before this step starts.
	DependsOn []int `json:"after,omitempty" cbor:"4,keyasint,omitempty"`
	// Checkpoints: a stopped task resumes from its last checkpoint.
	Checkpoints bool `json:"ckpt,omitempty" cbor:"5,keyasint,omitempty"`
	// Gang: the tasks can only make progress while all of them run.
	Gang bool `json:"gang,omitempty" cbor:"6,keyasint,omitempty"`
	// SameRack: the tasks run several times slower when spread over several racks.
	SameRack bool `json:"same_rack,omitempty" cbor:"7,keyasint,omitempty"`
	// Label is a label that the worker must have; empty allows any worker.
	Label string `json:"label,omitempty" cbor:"8,keyasint,omitempty"`
	// PreferredRack holds the input data; tasks run several times slower elsewhere.
	PreferredRack string `json:"rack,omitempty" cbor:"9,keyasint,omitempty"`
	// MaxPerWorker limits the step's tasks on one worker; 0 means no limit.
	MaxPerWorker int `json:"per_worker,omitempty" cbor:"10,keyasint,omitempty"`
	// Speculative: several copies of a task may run in parallel; the first result counts.
	Speculative bool `json:"copies,omitempty" cbor:"11,keyasint,omitempty"`
	// LongRunning: tasks are restarted whenever they end, until the job is cancelled.
	LongRunning bool   `json:"long_running,omitempty" cbor:"12,keyasint,omitempty"`
	Image       string `json:"image,omitempty" cbor:"13,keyasint,omitempty"`
	// TailLatencyTarget is the tail latency that the tasks must keep; 0 if they are not
	// latency-sensitive.
	TailLatencyTarget time.Duration `json:"tail,omitempty" cbor:"14,keyasint,omitempty"`
	// BestEffortCPU: the tasks use only processor time that other tasks leave idle, so
	// their CPU need is not counted against the worker's capacity.
	BestEffortCPU bool `json:"fills,omitempty" cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step the scheduler may make
	// unavailable at the same time.
	MaxUnavailable int `json:"may_miss,omitempty" cbor:"16,keyasint,omitempty"`
}

// Demand returns the capacity that one task takes on a worker.
func (s *Step) Demand() Resources {
	d := s.Need
	if s.BestEffortCPU {
		d.MilliCPU = 0
	}
	return d
}
