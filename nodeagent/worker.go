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
	// ErrOtherIncarnation means that another incarnation of the worker answered.
	ErrOtherIncarnation = eris.New("another incarnation of the worker answered")
	// ErrSuperseded is an ErrOtherIncarnation whose sender has the same name as the addressed
	// incarnation. Delayed orders to the latter may still reach it.
	ErrSuperseded = fmt.Errorf("%w under the same name", ErrOtherIncarnation)
	// ErrConnectionLost means that the connection to the worker broke or was refused, as it does
	// when the worker's process has ended.
	ErrConnectionLost = eris.New("the connection to the worker was lost")
	// ErrConnectionRefused is an ErrConnectionLost that means that nothing accepts connections at
	// the worker's address.
	ErrConnectionRefused = fmt.Errorf("%w: refused", ErrConnectionLost)
	// ErrFenced means that the worker has seen a higher fence.
	ErrFenced = eris.New("the worker follows a newer planner")
)

// StartInterrupted is the outcome of a call to start a run whose connection broke. Like StartUnknown it
// leaves open whether the run was started, but no other incarnation of the worker can carry the call out.
// It is not sent to planners.
const StartInterrupted engine.StartOutcome = -1

// OrderHeader is carried by every order to a worker.
type OrderHeader struct {
	Worker engine.WorkerID // the addressed incarnation
	Fence  engine.Fence    // the worker refuses a lower fence than it has seen
	// LeaseEnd is the end of the worker's lease on the worker's clock. Zero does not extend it.
	LeaseEnd time.Duration
}

// WorkerStatus is a worker's answer to a poll.
type WorkerStatus struct {
	Running []engine.RunStatus
	Ended   []engine.RunEnd
	// EndsOmitted means that there may be more ends than Ended lists.
	EndsOmitted bool
	// Clock is the worker's clock at some time during the call.
	Clock time.Duration
}

// Worker is a client of the worker beside the agent. A call that failed may still be carried
// out, even later, unless the error says otherwise.
type Worker interface {
	// Identify returns the name under which the worker answers; see engine.WorkerInfo.CallName.
	Identify(ctx context.Context) (string, error)
	// Start starts a run. It is idempotent for the same run. Its outcome may be StartInterrupted.
	Start(ctx context.Context, header OrderHeader, s engine.StartOrder) engine.StartOutcome
	// Stop ends a run. A run that does not exist yet is refused from then on.
	Stop(ctx context.Context, header OrderHeader, run workload.RunID) error
	// Pace sets the speed limit of a run.
	Pace(ctx context.Context, header OrderHeader, p engine.PaceOrder) error
	// Poll extends the lease, acknowledges ends up to number ackedEnds, waits up to wait for a
	// run to end, and returns the worker's status. It fails with ErrOtherIncarnation if another
	// incarnation answers, and with ErrConnectionLost if the connection fails other than by a
	// timeout, which is ErrConnectionRefused if there was none.
	Poll(ctx context.Context, header OrderHeader, ackedEnds int64, wait time.Duration) (WorkerStatus, error)
}

// Heartbeat is a periodic message from a worker to its agent.
type Heartbeat struct {
	Info     engine.WorkerInfo
	Sequence int64
	Draining bool
	// Remaining is the minimum time that a draining worker stays available.
	Remaining time.Duration
}
