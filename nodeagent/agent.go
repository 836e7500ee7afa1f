package nodeagent

import (
	"context"
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
	changed     chan struct{} // closed when life changes
	// epoch is the highest planner's epoch heard of; granted is how far its last
	// answer lets the worker's lease reach.
	epoch        uint64
	grantedUntil time.Duration
	// nextFence is the least that orders to the next life carry, if it has the name of the
	// last: higher than those that were meant for that one and may still be on their way.
	nextFence     engine.Fence
	cordon        cordonState
	departures    []departure // lives that are over and not reported so yet
	endedIDs      map[engine.WorkerID]bool
	reportPending chan struct{} // has a token when there is something to report
	counters      Counters
}

// Counters count what an agent did since its start.
type Counters struct {
	Starts, StartsRefused, StartsCordoned, StartsUnknown, Stops, StopsUnknown  atomic.Int64
	Looks, LooksFailed, LooksPassedOver, Reports, ReportsFailed, Announcements atomic.Int64
	Paces, PacesUnknown                                                        atomic.Int64
}

// Start starts an Agent.
func Start(cfg Config) (*Agent, error) {
	a := &Agent{
		cfg:           cfg,
		log:           cfg.Log,
		changed:       make(chan struct{}),
		reportPending: make(chan struct{}, 1),
		endedIDs:      map[engine.WorkerID]bool{},
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
	a.finder = newPlannerFinder(cfg, a.pool)
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

// Stop ends the agent. What runs goes on under its lease.
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
