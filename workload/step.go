package workload

import "time"

// Step is a number of equal tasks of a job.
type Step struct {
	Count    int           `json:"n" cbor:"1,keyasint"`
	Need     Resources     `json:"need" cbor:"2,keyasint"` // of each task
	Estimate time.Duration `json:"est,omitempty" cbor:"3,keyasint,omitempty"`
	// DependsOn are earlier steps all of whose tasks must be done first.
	DependsOn []int `json:"after,omitempty" cbor:"4,keyasint,omitempty"`
	// Checkpoints: a stopped task resumes from its last checkpoint.
	Checkpoints bool `json:"ckpt,omitempty" cbor:"5,keyasint,omitempty"`
	// Gang: the tasks work only while all of them run.
	Gang bool `json:"gang,omitempty" cbor:"6,keyasint,omitempty"`
	// SameRack: the tasks are several times slower when spread over racks.
	SameRack bool `json:"same_rack,omitempty" cbor:"7,keyasint,omitempty"`
	// Label is one that the worker must have; empty means any worker.
	Label string `json:"label,omitempty" cbor:"8,keyasint,omitempty"`
	// PreferredRack is where the data is; elsewhere tasks are several times slower.
	PreferredRack string `json:"rack,omitempty" cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; 0 means no bound.
	MaxPerWorker int `json:"per_worker,omitempty" cbor:"10,keyasint,omitempty"`
	// Speculative: copies of a task may run in parallel; the first to finish counts.
	Speculative bool `json:"copies,omitempty" cbor:"11,keyasint,omitempty"`
	// LongRunning: tasks are restarted however they end, until the job is cancelled.
	LongRunning       bool          `json:"long_running,omitempty" cbor:"12,keyasint,omitempty"`
	Image             string        `json:"image,omitempty" cbor:"13,keyasint,omitempty"`
	TailLatencyTarget time.Duration `json:"tail,omitempty" cbor:"14,keyasint,omitempty"`
	// BestEffortCPU: the tasks take the processor time that others leave, so their share of
	// it is not counted against the worker.
	BestEffortCPU bool `json:"fills,omitempty" cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step may be away at once through
	// the system's own actions.
	MaxUnavailable int `json:"may_miss,omitempty" cbor:"16,keyasint,omitempty"`
}

// Demand is what one task takes of a worker's capacity.
func (s *Step) Demand() Resources {
	d := s.Need
	if s.BestEffortCPU {
		d.MilliCPU = 0
	}
	return d
}
