package nodeagent

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Config of an Agent.
type Config struct {
	ID     string
	Region string
	Zone   string
	Listen string // of the QUIC endpoint
	// Seeds are QUIC addresses of gateways; further ones are learnt from them.
	Seeds      []string
	ClusterKey []byte
	Worker     Worker
	// ListGateways lists gateways from where they are registered, for when no known one
	// answers. It may be nil.
	ListGateways func() ([]string, error)
	// MaxLease is the longest lease a worker grants.
	MaxLease time.Duration
	Log      logrus.FieldLogger
}

const (
	// reportInterval is the heartbeat towards the planner. It is below half of the time
	// after which the planner gives no new work.
	reportInterval = 500 * time.Millisecond
	// reportTimeout bounds one report; the planner answers within milliseconds, or
	// after its wait for the store.
	reportTimeout = 900 * time.Millisecond
	// plannerRetryDelay is the pause between two searches for the planner.
	plannerRetryDelay = 80 * time.Millisecond
	// pollWait is how long a look waits for an end. Each look renews the lease and
	// shows progress.
	pollWait = time.Second
	// shortPollWait is the same while the planner wants to see closely how tasks that share
	// the worker do; workers' figures cover half a second.
	shortPollWait = 400 * time.Millisecond
	// pollTimeoutMargin bounds how much longer than its wait a look may take.
	pollTimeoutMargin = 600 * time.Millisecond
	// unresponsivePollInterval is the pause between looks at a worker that does not answer.
	unresponsivePollInterval = 250 * time.Millisecond
	// restartPollInterval is the same for awaitedFor, where the worker may be back at any moment under
	// its name: orders that are on their way must not find its next life before a look does.
	restartPollInterval = 10 * time.Millisecond
	restartPollPeriod   = 3 * time.Second
	// leaseExtensionPeriod is how long looks that get no answer still extend the worker's lease:
	// some workers carry out what they don't answer, for about six seconds, which is as
	// long as a lease. Where the worker is gone, its work starts elsewhere that much later.
	leaseExtensionPeriod = 2 * time.Second
	// minPollInterval keeps a look that returns at once, since ends wait to be recorded,
	// from being repeated at full speed.
	minPollInterval = 25 * time.Millisecond
	// orderTimeout bounds one attempt of an order; a worker answers in a few
	// milliseconds. Starts are idempotent and tried again.
	orderTimeout  = 250 * time.Millisecond
	startAttempts = 3
	// minGrantForStart is how far the planner's last answer must reach for a start: an order
	// can overtake the answer that follows a gap, and the run would lapse at once.
	minGrantForStart = time.Second
	// renewalThreshold is the rest of a lease from which a look in progress is not waited for.
	renewalThreshold = 3 * time.Second
	// minExtraPollInterval is the least time between two such looks out of turn: several times what
	// a look takes.
	minExtraPollInterval = 100 * time.Millisecond
	// registryReadDelay is how long no known gateway may answer before the register is read.
	registryReadDelay = 1500 * time.Millisecond
)
