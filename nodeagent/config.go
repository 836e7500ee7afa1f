package nodeagent

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Config configures an Agent.
type Config struct {
	ID     string
	Region string
	Zone   string
	Listen string // address of the QUIC endpoint
	// Seeds are QUIC addresses of gateways. Further addresses are learned from them.
	Seeds      []string
	ClusterKey []byte
	Worker     Worker
	// ListGateways reads the gateway registry. It is called if no known gateway answers, and may
	// be nil.
	ListGateways func() ([]string, error)
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	Log      logrus.FieldLogger
}

const (
	// reportInterval is the interval of reports to the planner. It is less than half of the
	// time without a report after which the planner assigns no new work.
	reportInterval = 500 * time.Millisecond
	// reportTimeout bounds one report, including the planner's wait for the store.
	reportTimeout = 900 * time.Millisecond
	// minReportRetry and maxReportRetry bound the exponential backoff of failed reports. Each
	// attempt without a known planner queries several gateways, and all agents of a fleet may be
	// without one at the same time.
	minReportRetry = 80 * time.Millisecond
	maxReportRetry = 400 * time.Millisecond
	// pollWait is how long a poll waits for a run to end. Each poll renews the lease and
	// returns the progress of the runs.
	pollWait = time.Second
	// shortPollWait replaces pollWait while the planner asks for frequent polls, to follow how
	// tasks that share the worker perform.
	shortPollWait = 400 * time.Millisecond
	// pollTimeoutMargin is added to the wait of a poll to get its timeout.
	pollTimeoutMargin = 600 * time.Millisecond
	// unresponsivePollInterval is the pause between polls of an unresponsive worker.
	unresponsivePollInterval = 250 * time.Millisecond
	// restartPollInterval replaces it for restartPollPeriod if the worker may restart under the
	// same name. A poll must reach the new incarnation before delayed orders do.
	restartPollInterval = 10 * time.Millisecond
	restartPollPeriod   = 3 * time.Second
	// leaseExtensionPeriod is how long unanswered polls still extend the lease. Some workers
	// carry out calls that they do not answer. If the worker is gone, its work restarts
	// elsewhere that much later.
	leaseExtensionPeriod = 2 * time.Second
	// minPollInterval limits the rate of polls that return at once because ends are waiting to
	// be recorded, or whose answers are outdated.
	minPollInterval = 25 * time.Millisecond
	// orderTimeout bounds one attempt of an order. Starts are idempotent and are retried.
	orderTimeout  = 250 * time.Millisecond
	startAttempts = 3
	// maxOrderAge is how long after their decision starts are accepted. The planner waits no longer for the
	// answer.
	maxOrderAge = 2 * time.Second
	// startLimit is how long after the decision a call to start a run may still be sent; see
	// engine.Report.StartLimit.
	startLimit = maxOrderAge + startAttempts*orderTimeout
	// minGrantForStart is the minimum time left on the planner's grant for a start. An order
	// may overtake the reply that renews the grant after a gap, and the run would expire at
	// once.
	minGrantForStart = time.Second
	// renewalThreshold is the remaining lease time below which an extra poll renews the lease
	// without waiting for the poll in progress.
	renewalThreshold = 3 * time.Second
	// minExtraPollInterval is the minimum time between two extra polls.
	minExtraPollInterval = 100 * time.Millisecond
	// registryReadDelay is how long the planner must have been unknown and no gateway have
	// answered before the registry is read, and the minimum time between two reads.
	registryReadDelay = 1500 * time.Millisecond
	// registryFallbackDelay replaces it while gateways answer. It exceeds the time without a
	// planner after one has failed.
	registryFallbackDelay = 6 * time.Second
)
