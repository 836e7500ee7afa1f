package entry

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/routing"
	"github.com/eelgrasshub/eelgrasshub/settings"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Entry is one running entry. Its methods are safe for concurrent use.
type Entry struct {
	cfg         settings.Entry
	log         *logrus.Entry
	incarnation uint64
	since       time.Time

	t        tomb.Tomb
	client   *store.Client // for duties, membership of entries and documents
	work     *store.Client // for claims and jobs
	store    store.Store   // is client
	swaps    *store.Batcher
	ep       *wire.Endpoint
	pool     *wire.Pool
	listener net.Listener
	server   *http.Server

	docs      *document.InForce
	watcher   *document.Watcher
	jobs      *jobs.Store
	claims    *claims
	retention *sharedLease
	agents    *agents
	members   *members
	session   *lease.Session
	registry  *registry
	duties    *duties
	metrics   *metrics.Set
	once      *onceRunner
	latest    atomic.Pointer[news]
	draining  atomic.Bool
	catching  atomic.Bool // a catchUp is under way
	probe     storeProbe
	started   chan struct{} // closed once all parts are there

	mu          sync.RWMutex
	dispatchers map[string]*dispatcher
}

// Start starts an entry. Stop or Close ends it.
func Start(cfg settings.Entry, log *logrus.Entry) (*Entry, error) {
	e := &Entry{
		cfg:         cfg,
		log:         log.WithField("entry", cfg.ID),
		incarnation: uint64(time.Now().UnixNano()),
		since:       time.Now(),
		agents:      newAgents(),
		metrics:     metrics.New(0),
		dispatchers: make(map[string]*dispatcher),
		started:     make(chan struct{}),
	}
	e.openStore()
	if err := e.listen(); err != nil {
		e.swaps.Close()
		return nil, err
	}
	e.run()
	e.log.WithFields(logrus.Fields{
		"http":        e.HTTPAddr(),
		"quic":        e.ep.Addr(),
		"incarnation": e.incarnation,
	}).Info("entry started")
	return e, nil
}

func (e *Entry) openStore() {
	own := max(1, e.cfg.PlatformBudget/coordinationPart)
	e.client = e.storeClient(own)
	e.work = e.storeClient(e.cfg.PlatformBudget - own)
	e.store = e.client
	e.swaps = store.NewBatcher(e.work, 0)
	e.jobs = jobs.NewStore(e.cfg.Region, e.work, e.swaps)
	e.retention = newSharedLease(e.work, jobRetention)
	e.claims = &claims{prefix: e.cfg.Region, store: e.work, swaps: e.swaps, lease: newSharedLease(e.work, keyLife)}
	e.once = &onceRunner{claims: e.claims, process: e.incarnation}
}

// coordinationPart: one part in so many of the call budget is kept for what holds
// the entry together. In one budget, a burst of keyed requests uses up the calls
// that renew the duties, and the planner changes in the middle of it.
const coordinationPart = 2

func (e *Entry) storeClient(budget int) *store.Client {
	return store.NewClient(store.Options{
		Endpoints:   e.cfg.Platform,
		CallTimeout: e.cfg.PlatformTimeout.Duration,
		RateLimit:   rate.Limit(budget),
		Burst:       budget,
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
	id, err := wire.NewIdentity(peer, []byte(e.cfg.ClusterKey), e.cfg.Accepted()...)
	if err != nil {
		return err
	}
	transport := wire.Config{
		OnAccept:       e.agents.accepted,
		BusyProbeAfter: busyProbe,
		PingTimeout:    pingTimeout,
	}
	e.ep, err = transport.Listen(e.cfg.QUICListen, id, wire.HandlerFunc(e.handle))
	if err != nil {
		return err
	}
	e.pool = wire.NewPool(e.ep)
	e.agents.pool = e.pool
	e.listener, err = net.Listen("tcp", e.cfg.HTTPListen)
	if err != nil {
		e.pool.Close()
		_ = e.ep.Close()
	}
	return err
}

// A connection with calls outstanding that was silent for busyProbe is probed, and
// suspected when that stays unanswered for pingTimeout: a repeatable request is
// then tried elsewhere. Both are far above a round trip within a region, and their
// sum well below the deadlines of quick requests.
const (
	busyProbe   = 150 * time.Millisecond
	pingTimeout = 250 * time.Millisecond
)

// run starts everything that goes on beside requests.
func (e *Entry) run() {
	own := peerEntry{
		ID:          e.cfg.ID,
		Address:     e.advertised(),
		HTTP:        e.HTTPAddr(),
		Zone:        e.cfg.Zone,
		Incarnation: e.incarnation,
		Services:    e.cfg.Services,
	}
	e.openSession()
	e.registry = newRegistry(e.store, e.session, e.cfg.Region, own, e.log)
	e.registry.changed = e.peersChanged
	e.duties = newDuties(e)
	e.members = newMembers(e)
	e.docs = document.NewInForce(e.documentChanged)
	e.watcher = document.NewWatcher(e.store, e.askPeer, e.docs, document.DefaultFeederConfig(true), e.log)
	e.watcher.SetPeers(e.cfg.Peers)
	e.server = &http.Server{
		Handler:           e.routes(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		IdleTimeout:       idleTimeout,
	}
	e.gauges()
	e.setNews(nil)
	close(e.started)
	ctx := e.t.Context(context.Background())
	e.t.Go(func() error {
		e.t.Go(e.members.tick)
		e.t.Go(e.duties.spread)
		e.t.Go(newProber(e).run)
		e.t.Go(func() error { e.registry.register(ctx); return nil })
		e.t.Go(func() error { e.registry.follow(ctx); return nil })
		return nil
	})
	go func() { _ = e.server.Serve(e.listener) }() // ends with Shutdown or Close
}

// Bounds of a caller's connection: its headers, its whole request, and the
// silence between two requests.
const (
	headerTimeout  = 10 * time.Second
	requestTimeout = time.Minute
	idleTimeout    = 2 * time.Minute
)

func (e *Entry) advertised() string {
	if e.cfg.Advertise != "" {
		return e.cfg.Advertise
	}
	return e.ep.Addr()
}

// serves says whether this entry takes part in a service.
func (e *Entry) serves(service string) bool {
	return len(e.cfg.Services) == 0 || slices.Contains(e.cfg.Services, service)
}

// dispatcher returns the dispatcher of a service, made when first asked for.
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
		router: routing.New(routing.Options{Seed: e.incarnation, Zone: e.cfg.Zone}),
		agents: e.agents,
		once:   e.once,
		now:    time.Now,
		count:  e.metrics.Add,
	}
	d.weights.Store(&map[string]float64{})
	return d
}

// HTTPAddr is where callers reach this entry.
func (e *Entry) HTTPAddr() string { return e.listener.Addr().String() }

// QUICAddr is where agents and other entries reach this entry.
func (e *Entry) QUICAddr() string { return e.ep.Addr() }
