package nodeagent

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Agent is a running node agent.
type Agent struct {
	cfg      Config
	log      logrus.FieldLogger
	endpoint *wire.Endpoint
	pool     *wire.Pool
	tomb     tomb.Tomb
	finder   *plannerFinder

	mu          sync.Mutex
	incarnation *incarnation
	changed     chan struct{} // closed when incarnation changes
	// epoch is the highest planner epoch seen. grantedUntil is the time up to which the
	// planner's replies allow the worker's lease to be extended.
	epoch        uint64
	grantedUntil time.Duration
	// limitedAt is when a report last stated the end of the lease, limitedTo; see limitGrant.
	limitedAt, limitedTo time.Duration
	// nextFence is the lowest fence for orders to the next incarnation. It is higher than those
	// of delayed orders to the previous incarnation, which may have had the same name.
	nextFence        engine.Fence
	cordon           cordonState
	departures       []departure // ended incarnations that are not reported yet
	endedIDs         map[engine.WorkerID]bool
	unansweredStarts unansweredStarts
	startedAt        time.Duration
	reportPending    chan struct{} // signals the report loop; capacity 1
	// process identifies this process in reports, and lastReport is the number of its last one.
	process    uint64
	lastReport uint64
	counters   Counters
}

// Counters count events since the start of the agent. The metrics endpoint derives metric names
// from the field names.
type Counters struct {
	Starts, StartsRefused, StartsCordoned, StartsUnknown, Stops, StopsUnknown  atomic.Int64
	Looks, LooksFailed, LooksPassedOver, Reports, ReportsFailed, Announcements atomic.Int64
	Paces, PacesUnknown, RegistryReads                                         atomic.Int64
	// StartsOutdated counts starts that were refused because the lease by which they were decided was
	// over, or was granted to an earlier process.
	StartsOutdated atomic.Int64
}

// Start starts an Agent. The caller must call Stop.
func Start(cfg Config) (*Agent, error) {
	a := &Agent{
		cfg:              cfg,
		log:              cfg.Log,
		changed:          make(chan struct{}),
		reportPending:    make(chan struct{}, 1),
		endedIDs:         map[engine.WorkerID]bool{},
		startedAt:        now(),
		unansweredStarts: unansweredStarts{},
		process:          1 + rand.Uint64N(math.MaxUint64), // zero means unnumbered
	}
	peer := wire.Peer{ID: cfg.ID, Role: wire.RoleAgent, Incarnation: uint64(time.Now().UnixNano()), Region: cfg.Region, Zone: cfg.Zone}
	id, err := wire.NewIdentity(peer, cfg.ClusterKey)
	if err != nil {
		return nil, err
	}
	a.endpoint, err = wire.Listen(cfg.Listen, id, wire.HandlerFunc(a.handle))
	if err != nil {
		return nil, err
	}
	a.pool = wire.NewPool(a.endpoint)
	a.finder = newPlannerFinder(cfg, a.pool, &a.counters)
	a.tomb.Go(a.run)
	a.log.WithField("listen", a.endpoint.Addr()).Info("node agent started")
	return a, nil
}

func (a *Agent) run() error {
	a.tomb.Go(a.reportLoop)
	a.tomb.Go(a.pollLoop)
	<-a.tomb.Dying()
	return nil
}

// Stop stops the agent. Runs on the worker continue as long as its lease is valid.
func (a *Agent) Stop(ctx context.Context) error {
	a.tomb.Kill(nil)
	a.log.Info("node agent stopping")
	select {
	case <-a.tomb.Dead():
	case <-ctx.Done():
	}
	a.pool.Close()
	return a.endpoint.Close()
}

// Counters returns the agent's counters.
func (a *Agent) Counters() *Counters { return &a.counters }

func now() time.Duration { return lease.BootTime() }

func (a *Agent) requestReport() {
	select {
	case a.reportPending <- struct{}{}:
	default:
	}
}
