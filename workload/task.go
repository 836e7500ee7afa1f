package workload

import "fmt"

// TaskID names one task of one occurrence of a job.
type TaskID struct {
	Job        JobID `cbor:"1,keyasint"`
	Occurrence int   `cbor:"2,keyasint,omitempty"`
	Step       int   `cbor:"3,keyasint,omitempty"`
	Index      int   `cbor:"4,keyasint,omitempty"`
}

// String returns a form for logs.
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// RunID names one start of a task. Numbers rise with each start, over changes of
// the planner too; the members of a gang share one.
type RunID struct {
	Task   TaskID `cbor:"1,keyasint"`
	Number int    `cbor:"2,keyasint"`
}
