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

// ErrNotRunning is returned if the process is not running.
var ErrNotRunning = errors.New("trial: the process is not running")

// EntryNode is one entry of a Cluster. It is safe for concurrent use.
type EntryNode struct {
	ID string

	storeProxy *storeProxy
	udpRelay   *relay.Relay // nil unless Options.UDPRelays is set

	mu      sync.Mutex
	cfg     settings.Entry
	current *entry.Entry // nil while the entry is not running
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
		StoreRateLimit: storeRateLimit,
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

// Start starts the entry, also after it has stopped: a new incarnation at the same address.
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

// startWithRetry retries, since the previous incarnation's socket may still be closing.
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

// Kill stops the entry as a crash of its instance does, without notifying anyone. Without UDP
// relays its connections are closed, which the peers notice at once.
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

// Stop stops the entry gracefully. It returns an error if work in progress was cut off.
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

// SetStorePartitioned cuts this entry off from the store, or reconnects it.
func (n *EntryNode) SetStorePartitioned(partitioned bool) { n.storeProxy.setPartitioned(partitioned) }

// DropAllFlows silently drops all further packets of the open connections to this entry, in
// both directions, and returns how many connections that affects. New connections work. It
// needs Options.UDPRelays.
func (n *EntryNode) DropAllFlows() int { return n.DropFlows(relay.BothDirections...) }

// DropFlows is like DropAllFlows for the given directions only; relay.ToUpstream is towards
// the entry.
func (n *EntryNode) DropFlows(directions ...relay.Direction) int {
	return n.udpRelay.DropFlows(directions...)
}

// Running reports whether the entry is running.
func (n *EntryNode) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current != nil
}

// URL returns the base URL of the entry's HTTP API. It does not change when the entry restarts.
func (n *EntryNode) URL() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.url
}

// Client returns an API client for the entry's current URL.
func (n *EntryNode) Client() *api.Client { return api.NewClient(n.URL(), nil) }

// PlannerStats returns the statistics of the service's planner if this entry leads its election.
func (n *EntryNode) PlannerStats(service string) (scheduler.Stats, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil {
		return scheduler.Stats{}, false
	}
	return n.current.Stats(service)
}

// epoch returns the epoch of this entry's planner leadership, or 0 if it is not the leader.
func (n *EntryNode) epoch(service string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil {
		return 0
	}
	return n.current.Epoch(service)
}

// peerAddr returns the address for agents and other entries.
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
