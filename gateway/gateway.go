package gateway

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/records"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Gateway is a running gateway. Its methods are safe for concurrent use.
type Gateway struct {
	*peering
	cfg           Config
	log           logrus.FieldLogger
	currentConfig *catalog.Current
	jobStore      *records.JobStore
	// relayedStore is the store as used by the planner: it falls back to peers.
	relayedStore *storeRelay
	endpoint     *wire.Endpoint
	pool         *wire.Pool
	plannerLease *lease.Candidate
	tomb         tomb.Tomb
	stopping     atomic.Bool
	// storeFailedAt is when the store last failed a call of this gateway, on the boot clock;
	// zero if none has failed since the last write that it answered.
	storeFailedAt    atomic.Int64
	deposedAt        atomic.Int64 // when this gateway last deposed a planner, on the boot clock
	fetchingConfig   atomic.Bool  // a configuration is being fetched from a peer
	counters         Counters
	jobWaits         metrics.LabeledLatencies // from acceptance to first start, by account and queue
	queueDelays      metrics.LabeledLatencies // of events in the planner's queue
	jobCompletions   metrics.LabeledLatencies // from acceptance to end, by account, queue and state
	callLatencies    metrics.LabeledLatencies // client calls, by kind and outcome
	silentWorkers    metrics.LabeledSums      // times that runs waited for a lease, by service and engine.LeaseBasis
	leaseWaits       metrics.LabeledLatencies // from the last grant or the takeover to the end of the lease, labels as above
	workerDepartures metrics.LabeledSums      // ended worker incarnations, by service and kind of departure
	workerSlowdowns  metrics.LabeledGauges    // run time relative to an average worker, by service and worker
	lostWork         metrics.LabeledSums      // core-seconds of discarded work, by queue and cause
	savedWork        metrics.LabeledSums      // core-seconds of discarded runs kept by checkpoints, by queue and cause
	lateJobs         metrics.LabeledSums      // jobs that missed their objective, by queue and reason
	unitWaits        metrics.LabeledSums      // units that could not start at once, by account and reason

	mu   sync.Mutex
	term *term // current or last term of this gateway as planner
}

// Start starts a Gateway. The caller must call Stop.
func Start(cfg Config) (*Gateway, error) {
	g := &Gateway{
		cfg:           cfg,
		log:           cfg.Log,
		currentConfig: catalog.NewCurrent(),
		jobStore:      records.NewJobStore(cfg.Store),
	}
	g.peering = newPeering(cfg.Listen, cfg.Seeds, lease.BootTime, g.activeEpoch)
	g.onNewPlanner = g.logNewPlanner
	g.onEarlierGrants = g.lowerExtension
	peer := wire.Peer{ID: cfg.ID, Role: wire.RoleEntry, Incarnation: uint64(time.Now().UnixNano()), Region: cfg.Region, Zone: cfg.Zone, Address: cfg.Listen}
	id, err := wire.NewIdentity(peer, cfg.ClusterKey)
	if err != nil {
		return nil, err
	}
	g.endpoint, err = wire.Listen(cfg.Listen, id, wire.HandlerFunc(g.handle))
	if err != nil {
		return nil, err
	}
	g.pool = wire.NewPool(g.endpoint)
	g.relayedStore = &storeRelay{TransactionalStore: cfg.Store, g: g}
	g.plannerLease = lease.StartCandidate(lease.CandidateOptions{
		Store:            g.relayedStore,
		Election:         plannerLeaseName,
		Instance:         cfg.ID,
		TTL:              plannerLeaseTTL,
		RemoveStaleClaim: true,
		ClaimDelay:       g.claimDelay,
		MaxRetryDelay:    plannerLeaseMaxPause,
		OnChange:         g.plannerLeaseChanged,
		Log:              cfg.Log,
	})
	g.tomb.Go(g.run)
	g.log.WithField("listen", cfg.Listen).Info("gateway started")
	return g, nil
}

func (g *Gateway) run() error {
	g.tomb.Go(func() error {
		g.cfg.Source.Follow(g.tomb.Context(context.Background()), g.currentConfig)
		return nil
	})
	g.tomb.Go(g.peerLoop)
	g.tomb.Go(g.livenessLoop)
	g.tomb.Go(g.configLoop)
	g.tomb.Go(g.registerLoop)
	<-g.tomb.Dying()
	return nil
}

// configLoop logs each configuration version and each change of the cordons, and passes them to
// the current term.
func (g *Gateway) configLoop() error {
	lastVersion := int64(0)
	var lastZones []string
	for {
		changed := g.currentConfig.Changed()
		if view, ok := g.currentConfig.Snapshot(); ok && view.Catalog.Version != lastVersion {
			lastVersion = view.Catalog.Version
			g.log.WithField("version", lastVersion).WithField("queues", len(view.Catalog.Queues)).Info("configuration version changed")
			if t := g.currentTerm(); t != nil {
				t.updateCatalog(view.Catalog)
			}
		}
		if cordons, ok := g.currentConfig.Cordons(); ok && !slices.Equal(lastZones, cordons.Zones) {
			lastZones = cordons.Zones
			g.counters.ZonesCordoned.Store(int64(len(lastZones)))
			g.log.WithField("zones", lastZones).WithField("revision", cordons.Revision).Info("cordoned availability zones changed")
			if t := g.currentTerm(); t != nil {
				t.updateCordons(cordons)
			}
		}
		select {
		case <-changed:
		case <-g.tomb.Dying():
			return nil
		}
	}
}

// Ready reports whether clients should be routed to this gateway: it has a configuration and is
// not stopping.
func (g *Gateway) Ready() bool {
	_, ok := g.currentConfig.Snapshot()
	return ok && !g.stopping.Load()
}

// Drain makes the gateway not ready, waits until pending records are written or ctx ends, and
// hands over the planner lease. Calls are still served meanwhile.
func (g *Gateway) Drain(ctx context.Context) {
	g.stopping.Store(true)
	g.log.Info("gateway draining")
	if t := g.currentTerm(); t != nil {
		t.flush(ctx)
	}
	if err := g.plannerLease.Resign(ctx); err != nil {
		g.log.WithError(err).Warn("planner lease not handed over; it will expire")
	}
}

// Stop drains the gateway if that was not done yet, and shuts it down.
func (g *Gateway) Stop(ctx context.Context) error {
	if !g.stopping.Load() {
		g.Drain(ctx)
	}
	g.tomb.Kill(nil)
	if t := g.currentTerm(); t != nil {
		t.end()
	}
	g.pool.Close()
	err := g.endpoint.Close()
	g.log.Info("gateway stopped")
	return err
}

// WriteMetrics writes the gateway's histograms and sums in text format.
func (g *Gateway) WriteMetrics(w io.Writer) {
	g.jobWaits.WriteText(w, "eelgrasshub_job_wait_us")
	g.queueDelays.WriteText(w, "eelgrasshub_queue_delay_us")
	g.jobCompletions.WriteText(w, "eelgrasshub_job_completion_us")
	g.callLatencies.WriteText(w, "eelgrasshub_call_us")
	g.workerDepartures.WriteText(w, "eelgrasshub_workers_gone")
	g.silentWorkers.WriteText(w, "eelgrasshub_workers_silent")
	g.leaseWaits.WriteText(w, "eelgrasshub_lease_wait_us")
	g.workerSlowdowns.WriteText(w, "eelgrasshub_worker_slowdown")
	g.lostWork.WriteText(w, "eelgrasshub_work_lost_core_seconds")
	g.savedWork.WriteText(w, "eelgrasshub_work_saved_core_seconds")
	g.lateJobs.WriteText(w, "eelgrasshub_jobs_late")
	g.unitWaits.WriteText(w, "eelgrasshub_units_waited")
}

// Counters returns the gateway's counters.
func (g *Gateway) Counters() *Counters { return &g.counters }

// CurrentConfig returns the current configuration. fresh reports whether it was confirmed recently
// enough to authenticate keys. Its age includes time in suspension, so that a process that was
// paused or cut off does not accept a key that was revoked meanwhile.
func (g *Gateway) CurrentConfig() (view catalog.Snapshot, fresh, ok bool) {
	view, ok = g.currentConfig.Snapshot()
	if !ok {
		return view, false, false
	}
	fresh = lease.BootTime()-view.ConfirmedAt < g.cfg.KeyRevocationDelay-keyRevocationMargin
	return view, fresh, true
}

func (g *Gateway) currentTerm() *term {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term
}

// plannerLeaseChanged is called by the lease candidate's goroutine when this gateway acquires or
// loses the planner lease.
func (g *Gateway) plannerLeaseChanged(held lease.Leadership, ok bool) {
	var announceTo []string
	if ok {
		// From now on replies name this planner, which ends extended grants of its predecessors.
		announceTo = g.learnPlanner(held.Epoch, g.cfg.Listen)
	}
	g.mu.Lock()
	old := g.term
	if ok {
		g.term = newTerm(g, held)
	}
	g.mu.Unlock()
	if old != nil {
		old.freeze()
	}
	g.workerSlowdowns.Clear() // those of a planner are the current ones
	if !ok {
		g.log.Info("planner lease lost")
		return
	}
	if old != nil {
		old.end()
	}
	g.log.WithField("epoch", held.Epoch).Info("planner lease acquired")
	g.queryPeers(announceTo)
}

func (g *Gateway) logNewPlanner(epoch uint64, planner string) {
	g.log.WithField("planner", planner).WithField("epoch", epoch).Info("new planner")
}

// Stopping reports whether the gateway is draining or stopped.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// Planning reports whether this gateway is the active planner.
func (g *Gateway) Planning() bool { return g.activeEpoch() != 0 }

// activeEpoch returns the epoch under which this gateway is the active planner, or zero if it
// is not.
func (g *Gateway) activeEpoch() uint64 {
	t := g.currentTerm()
	if t == nil || !t.active() {
		return 0
	}
	return t.epoch
}
