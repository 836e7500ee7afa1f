package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/ingress"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/routing"
	"github.com/eelgrasshub/eelgrasshub/settings"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Entry is a running entry process. Its methods are safe for concurrent use.
type Entry struct {
	cfg         settings.Entry
	log         *logrus.Entry
	incarnation uint64
	startedAt   time.Time

	tomb               tomb.Tomb
	coordinationClient *store.Client // for leases, registrations and documents
	workClient         *store.Client // for claims and jobs
	store              store.Store   // same as coordinationClient
	batcher            *store.Batcher
	endpoint           *wire.Endpoint
	pool               *wire.Pool
	server             *ingress.Server

	documents     *document.ActiveSet
	watcher       *document.Watcher
	jobs          *jobs.Store
	claims        *claimStore
	retention     *sharedLease
	agents        *agentConns
	members       *members
	session       *lease.Session
	registry      *registry
	elections     *elections
	metrics       *metrics.Set
	attemptIssuer *attemptIssuer
	sharedAck     atomic.Pointer[sharedAck]
	draining      atomic.Bool
	catchingUp    atomic.Bool // set while fetchNewerDocuments runs
	storeProbe    storeProbe
	started       chan struct{} // closed when all components have been created

	mu          sync.RWMutex
	dispatchers map[string]*dispatcher
}

// Start starts an entry. It serves until Stop or Close is called.
func Start(cfg settings.Entry, log *logrus.Entry) (*Entry, error) {
	e := &Entry{
		cfg:         cfg,
		log:         log.WithField("entry", cfg.ID),
		incarnation: uint64(time.Now().UnixNano()),
		startedAt:   time.Now(),
		agents:      newAgentConns(),
		metrics:     metrics.New(0),
		dispatchers: make(map[string]*dispatcher),
		started:     make(chan struct{}),
	}
	e.openStoreClients()
	if err := e.listen(); err != nil {
		e.batcher.Close()
		return nil, err
	}
	e.startComponents()
	e.log.WithFields(logrus.Fields{
		"http":        e.HTTPAddr(),
		"quic":        e.endpoint.Addr(),
		"incarnation": e.incarnation,
	}).Info("entry started")
	return e, nil
}

func (e *Entry) openStoreClients() {
	coordinationRate := max(1, e.cfg.StoreRateLimit/coordinationDivisor)
	e.coordinationClient = e.newStoreClient(coordinationRate)
	e.workClient = e.newStoreClient(e.cfg.StoreRateLimit - coordinationRate)
	e.store = e.coordinationClient
	e.batcher = store.NewBatcher(e.workClient, 0)
	e.jobs = jobs.NewStore(e.cfg.Region, e.workClient, e.batcher)
	e.retention = newSharedLease(e.workClient, jobRetention)
	e.claims = &claimStore{region: e.cfg.Region, store: e.workClient, swapper: e.batcher, lease: newSharedLease(e.workClient, idempotencyKeyTTL)}
	e.attemptIssuer = &attemptIssuer{claims: e.claims, entryIncarnation: e.incarnation}
}

// coordinationDivisor divides the rate limit of store calls: the quotient is reserved for
// leases, registrations and documents. With a shared limit, a burst of keyed requests
// could delay lease renewals and cost the entry its planner leaderships.
const coordinationDivisor = 2

func (e *Entry) newStoreClient(callsPerSecond int) *store.Client {
	return store.NewClient(store.Options{
		Endpoints:   e.cfg.StoreURLs,
		CallTimeout: e.cfg.StoreTimeout.Duration,
		RateLimit:   rate.Limit(callsPerSecond),
		Burst:       callsPerSecond,
	})
}

func (e *Entry) listen() error {
	peer := wire.Peer{
		ID:          e.cfg.ID,
		Role:        wire.RoleEntry,
		Incarnation: e.incarnation,
		Region:      e.cfg.Region,
		Zone:        e.cfg.Zone,
		Version:     wire.Version,
		Address:     e.cfg.Advertise,
	}
	id, err := wire.NewIdentity(peer, []byte(e.cfg.ClusterKey), e.cfg.AcceptedKeyBytes()...)
	if err != nil {
		return err
	}
	transport := wire.Config{
		OnAccept:       e.agents.onAccepted,
		BusyProbeAfter: busyProbeDelay,
		PingTimeout:    pingTimeout,
	}
	e.endpoint, err = transport.Listen(e.cfg.QUICListen, id, wire.HandlerFunc(e.handle))
	if err != nil {
		return err
	}
	e.pool = wire.NewPool(e.endpoint)
	e.agents.pool = e.pool
	e.server, err = ingress.Listen(e.cfg.HTTPListen, callerLimits(&e.cfg), e.log)
	if err != nil {
		e.pool.Close()
		_ = e.endpoint.Close()
	}
	return err
}

// A connection that has calls outstanding and has received nothing for busyProbeDelay is
// pinged, and is suspected when the ping is not answered within pingTimeout; a repeatable
// request is then retried elsewhere. Both are far above a round trip within a region, and
// their sum is well below the deadlines of quick requests.
const (
	busyProbeDelay = 150 * time.Millisecond
	pingTimeout    = 250 * time.Millisecond
)

// startComponents creates the remaining components and starts their goroutines.
func (e *Entry) startComponents() {
	record := entryRecord{
		ID:          e.cfg.ID,
		Address:     e.advertisedAddr(),
		HTTP:        e.HTTPAddr(),
		Zone:        e.cfg.Zone,
		Incarnation: e.incarnation,
		Services:    e.cfg.Services,
	}
	e.openSession()
	e.registry = newRegistry(e.store, e.session, e.cfg.Region, record, e.log)
	e.registry.onChange = e.peersChanged
	e.elections = newElections(e)
	e.members = newMembers(e)
	e.documents = document.NewActiveSet(e.applyDocument)
	e.watcher = document.NewWatcher(e.store, e.askPeer, e.documents, document.DefaultSyncerConfig(true), e.log)
	e.watcher.SetPeers(e.cfg.Peers)
	e.registerGauges()
	e.updateSharedAck(nil)
	close(e.started)
	ctx := e.tomb.Context(context.Background())
	e.tomb.Go(func() error {
		e.tomb.Go(e.members.run)
		e.tomb.Go(e.elections.balance)
		e.tomb.Go(newProber(e).run)
		e.tomb.Go(func() error { e.registry.register(ctx); return nil })
		e.tomb.Go(func() error { e.registry.watch(ctx); return nil })
		return nil
	})
	e.server.Serve(e.routes())
}

func (e *Entry) advertisedAddr() string {
	if e.cfg.Advertise != "" {
		return e.cfg.Advertise
	}
	return e.endpoint.Addr()
}

// servesService reports whether this entry takes part in a service.
func (e *Entry) servesService(service string) bool {
	return len(e.cfg.Services) == 0 || slices.Contains(e.cfg.Services, service)
}

// dispatcher returns the dispatcher of a service and creates it on first use.
func (e *Entry) dispatcher(service string) *dispatcher {
	e.mu.RLock()
	d := e.dispatchers[service]
	e.mu.RUnlock()
	if d != nil {
		return d
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if d := e.dispatchers[service]; d != nil {
		return d
	}
	d = e.newDispatcher()
	e.dispatchers[service] = d
	return d
}

func (e *Entry) newDispatcher() *dispatcher {
	d := &dispatcher{
		router:        routing.New(routing.Options{Seed: e.incarnation, Zone: e.cfg.Zone}),
		agents:        e.agents,
		attemptIssuer: e.attemptIssuer,
		now:           time.Now,
		count:         e.metrics.Add,
	}
	d.weights.Store(&map[string]float64{})
	return d
}

// HTTPAddr returns the host:port of the callers' HTTP interface.
func (e *Entry) HTTPAddr() string { return e.server.Addr() }

// QUICAddr returns the host:port of the QUIC endpoint for agents and other entries.
func (e *Entry) QUICAddr() string { return e.endpoint.Addr() }
