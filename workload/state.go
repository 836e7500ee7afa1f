package workload

// State is what a caller is told of a job.
type State string

// States. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final says whether no other state can follow.
func (s State) Final() bool {
	return s == Completed || s == Failed || s == Cancelled
}
