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
	// ErrOtherLife: another life of the worker answered than the one meant.
	ErrOtherLife = eris.New("another life of the worker answered")
	// ErrSuperseded is the ErrOtherLife of a life that has the name of the one meant. Whatever
	// was ordered of that one may still reach it.
	ErrSuperseded = fmt.Errorf("%w under its name", ErrOtherLife)
	// ErrFenced: the worker has seen a newer planner's epoch.
	ErrFenced = eris.New("the worker follows a newer planner")
)

// Order is what every order to a worker carries.
type Order struct {
	Worker engine.WorkerID // the life that is meant
	Fence  engine.Fence    // the worker refuses lower ones than it has seen
	// Until is the end of the worker's lease on its own clock; zero extends nothing.
	Until time.Duration
}

// Look is a worker's answer about itself.
type Look struct {
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
	Start(ctx context.Context, o Order, s engine.StartOrder) engine.StartOutcome
	// Stop ends a run; one that is not there yet is refused from then on.
	Stop(ctx context.Context, o Order, run workload.RunID) error
	// Pace sets the speed of a run.
	Pace(ctx context.Context, o Order, p engine.PaceOrder) error
	// Look extends the lease, lets ends up to seen be forgotten, waits up to wait for
	// an end, and returns what there is. ErrOtherLife: it is another life that answers.
	Look(ctx context.Context, o Order, seen int64, wait time.Duration) (Look, error)
}

// Announcement is a worker's heartbeat.
type Announcement struct {
	Info     engine.WorkerInfo
	Sequence int64
	Draining bool
	// Remaining is how long a draining worker stays at least.
	Remaining time.Duration
}
