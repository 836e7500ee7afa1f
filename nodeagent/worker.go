package nodeagent

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

var (
	// ErrOtherIncarnation: another life of the worker answered than the one meant.
	ErrOtherIncarnation = eris.New("another life of the worker answered")
	// ErrSuperseded is the ErrOtherLife of a life that has the name of the one meant. Whatever
	// was ordered of that one may still reach it.
	ErrSuperseded = fmt.Errorf("%w under its name", ErrOtherIncarnation)
	// ErrFenced: the worker has seen a newer planner's epoch.
	ErrFenced = eris.New("the worker follows a newer planner")
)

// OrderHeader is what every order to a worker carries.
type OrderHeader struct {
	Worker engine.WorkerID // the life that is meant
	Fence  engine.Fence    // the worker refuses lower ones than it has seen
	// LeaseEnd is the end of the worker's lease on its own clock; zero extends nothing.
	LeaseEnd time.Duration
}

// WorkerStatus is a worker's answer about itself.
type WorkerStatus struct {
	Running []engine.RunStatus
	Ended   []engine.RunEnd
	// Clock is the worker's own clock at some time during the call.
	Clock time.Duration
}

// Worker is the worker beside the agent. Calls may be carried out although they
// failed, even later, unless the error says otherwise.
type Worker interface {
	// Identify returns the name under which the worker answers; see
	// engine.WorkerInfo.CallName.
	Identify(ctx context.Context) (string, error)
	// Start starts a run. It is idempotent for one run.
	Start(ctx context.Context, o OrderHeader, s engine.StartOrder) engine.StartOutcome
	// Stop ends a run; one that is not there yet is refused from then on.
	Stop(ctx context.Context, o OrderHeader, run workload.RunID) error
	// Pace sets the speed of a run.
	Pace(ctx context.Context, o OrderHeader, p engine.PaceOrder) error
	// Poll extends the lease, lets ends up to seen be forgotten, waits up to wait for
	// an end, and returns what there is. ErrOtherLife: it is another life that answers.
	Poll(ctx context.Context, o OrderHeader, ackedEnds int64, wait time.Duration) (WorkerStatus, error)
}

// Heartbeat is a worker's heartbeat.
type Heartbeat struct {
	Info     engine.WorkerInfo
	Sequence int64
	Draining bool
	// Remaining is how long a draining worker stays at least.
	Remaining time.Duration
}
