package trial

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/document/schema"
	"github.com/eelgrasshub/eelgrasshub/entry"
	"github.com/eelgrasshub/eelgrasshub/internal/relay"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
	"github.com/eelgrasshub/eelgrasshub/settings"
)

// ErrNotRunning: the process does not run now.
var ErrNotRunning = errors.New("trial: the process does not run")

// EntryNode is one entry of a Cluster. It is safe for concurrent use.
type EntryNode struct {
	ID string

	storeProxy *storeProxy
	udpRelay   *relay.Relay // nil without relays

	mu      sync.Mutex
	cfg     settings.Entry
	current *entry.Entry // nil while it is down
	options Options
	url     string
}

func newEntryNode(id, zone string, store http.Handler, o Options) (*EntryNode, error) {
	proxy, err := newStoreProxy(store)
	if err != nil {
		return nil, err
	}
	n := &EntryNode{ID: id, storeProxy: proxy, options: o}
	n.cfg = settings.Entry{
		ID:             id,
		Region:         region,
		Zone:           zone,
		HTTPListen:     loopback,
		QUICListen:     loopback,
		ClusterKey:     clusterKey,
		StoreURLs:      []string{proxy.url()},
		StoreTimeout:   schema.Duration{Duration: o.StoreTimeout},
		StoreRateLimit: storeCallRate,
		ReportPeriod:   schema.Duration{Duration: o.ReportPeriod},
		DrainDelay:     schema.Duration{Duration: o.DrainDelay},
		StopGrace:      schema.Duration{Duration: time.Minute},
	}
	if !o.UDPRelays {
		return n, nil
	}
	if n.udpRelay, err = relay.New(); err != nil {
		proxy.close()
		return nil, err
	}
	n.cfg.Advertise = n.udpRelay.Addr()
	return n, nil
}

// Start starts the entry, also again after it has ended: a new incarnation at
// the same address.
func (n *EntryNode) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current != nil {
		return nil
	}
	n.storeProxy.setPartitioned(false)
	e, err := n.startWithRetry()
	if err != nil {
		return err
	}
	n.current = e
	n.url = "http://" + e.HTTPAddr()
	n.cfg.HTTPListen = e.HTTPAddr()
	if n.udpRelay != nil {
		return n.udpRelay.SetUpstream(e.QUICAddr())
	}
	n.cfg.QUICListen = e.QUICAddr()
	return nil
}

// startWithRetry tries for a while: the socket of the earlier life may be closing.
func (n *EntryNode) startWithRetry() (*entry.Entry, error) {
	var err error
	for range maxStartAttempts {
		var e *entry.Entry
		if e, err = entry.Start(n.cfg, n.options.Log); err == nil {
			return e, nil
		}
		time.Sleep(startRetryDelay)
	}
	return nil, err
}

// Kill ends the entry as the death of its instance does: it tells nobody. Without
// relays its connections are closed, which their other ends notice at once.
func (n *EntryNode) Kill() {
	n.storeProxy.setPartitioned(true)
	if n.udpRelay != nil {
		_ = n.udpRelay.SetUpstream("")
		n.udpRelay.DropFlows(relay.BothDirections...)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current != nil {
		n.current.Close()
		n.current = nil
	}
}

// Stop is a planned stop. It returns an error if work in progress was cut.
func (n *EntryNode) Stop(ctx context.Context) error {
	n.mu.Lock()
	e := n.current
	n.current = nil
	n.mu.Unlock()
	if e == nil {
		return nil
	}
	return e.Stop(ctx)
}

// SetStorePartitioned takes the store away from this entry, or gives it back.
func (n *EntryNode) SetStorePartitioned(partitioned bool) { n.storeProxy.setPartitioned(partitioned) }

// DropAllFlows makes the open connections to this entry go silent for good,
// while new ones work, and returns how many. It needs Options.Relays.
func (n *EntryNode) DropAllFlows() int { return n.DropFlows(relay.BothDirections...) }

// DropFlows is SilenceFlows for what goes these ways only: Up is towards the entry.
func (n *EntryNode) DropFlows(directions ...relay.Direction) int {
	return n.udpRelay.DropFlows(directions...)
}

// Running says whether the entry runs.
func (n *EntryNode) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current != nil
}

// URL is where callers reach the entry. It stays the same over restarts.
func (n *EntryNode) URL() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.url
}

// Client returns a client of this entry as it runs now.
func (n *EntryNode) Client() *api.Client { return api.NewClient(n.URL(), nil) }

// PlannerStats are those of the service's planner, if this entry holds the duty.
func (n *EntryNode) PlannerStats(service string) (scheduler.Stats, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil {
		return scheduler.Stats{}, false
	}
	return n.current.Stats(service)
}

// epoch is that of the planner duty held here, or 0.
func (n *EntryNode) epoch(service string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil {
		return 0
	}
	return n.current.Epoch(service)
}

// peerAddr is where agents and other entries reach it.
func (n *EntryNode) peerAddr() string {
	if n.udpRelay != nil {
		return n.udpRelay.Addr()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cfg.QUICListen
}

func (n *EntryNode) close() {
	n.Kill()
	n.storeProxy.close()
	if n.udpRelay != nil {
		n.udpRelay.Close()
	}
}
