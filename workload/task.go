package workload

import "fmt"

// TaskID identifies one task of one occurrence of a job.
type TaskID struct {
	Job        JobID `cbor:"1,keyasint"`
	Occurrence int   `cbor:"2,keyasint,omitempty"`
	Step       int   `cbor:"3,keyasint,omitempty"`
	Index      int   `cbor:"4,keyasint,omitempty"`
}

// String formats t for logs.
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// RunID identifies one run of a task. Numbers increase with each run, also across changes of
// the planner. All members of a gang share the run number.
type RunID struct {
	Task   TaskID `cbor:"1,keyasint"`
	Number int    `cbor:"2,keyasint"`
}
