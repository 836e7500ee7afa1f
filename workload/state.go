package workload

// State is the state of a job as reported to callers.
type State string

// The states of a job. Completed, Failed and Cancelled are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether s can't change any more.
func (s State) Final() bool {
	return s == Completed || s == Failed || s == Cancelled
}
