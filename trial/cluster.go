package trial

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
	"github.com/eelgrasshub/eelgrasshub/store"
	kvstandin "github.com/eelgrasshub/eelgrasshub/store/standin"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

const (
	loopback       = "127.0.0.1:0"
	region         = "trial"
	clusterKey     = "key of a trial on loopback"
	storeRateLimit = 500 // calls per second; the default of an entry's settings

	maxStartAttempts = 50
	startRetryDelay  = 20 * time.Millisecond
	pollInterval     = 10 * time.Millisecond
)

// Cluster is a deployment of one service. Its fields do not change after New; its methods are
// safe for concurrent use.
type Cluster struct {
	Service string
	Store   *kvstandin.Server
	Entries []*EntryNode
	Workers []*Worker

	storeProxy  *storeProxy
	storeClient *store.Client
}

// New starts a cluster, stores its document and waits until every entry is ready and knows
// every agent with that document active. Close stops it.
func New(ctx context.Context, o Options) (*Cluster, error) {
	o = o.withDefaults()
	doc, err := document.Parse("trial", o.Document)
	if err != nil {
		return nil, err
	}
	c := &Cluster{Service: doc.Service, Store: kvstandin.New(kvstandin.Options{})}
	if err := c.startAll(ctx, doc, o); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) startAll(ctx context.Context, doc *document.Document, o Options) error {
	var err error
	if c.storeProxy, err = newStoreProxy(c.Store); err != nil {
		return err
	}
	c.storeClient = store.NewClient(store.Options{Endpoints: []string{c.storeProxy.url()}})
	v, err := c.PutDocument(ctx, o.Document, 0)
	if err != nil {
		return err
	}
	locations := workerLocations(doc, o.Workers)
	if err := c.startEntries(locations, o); err != nil {
		return err
	}
	if err := c.startWorkers(locations, o); err != nil {
		return err
	}
	return c.WaitForDocument(ctx, v.Generation)
}

func (c *Cluster) startEntries(locations []workerLocation, o Options) error {
	for i := range o.Entries {
		zone := locations[i*len(locations)/o.Entries].zone
		n, err := newEntryNode(fmt.Sprintf("entry-%d", i+1), zone, c.Store, o)
		if err != nil {
			return err
		}
		c.Entries = append(c.Entries, n)
	}
	for _, n := range c.Entries {
		n.cfg.Peers = c.peerAddresses(n)
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

// peerAddresses returns the addresses of the other entries that have a UDP relay; the others'
// addresses are not known before they start.
func (c *Cluster) peerAddresses(n *EntryNode) []string {
	var peers []string
	for _, other := range c.Entries {
		if other != n && other.udpRelay != nil {
			peers = append(peers, other.udpRelay.Addr())
		}
	}
	return peers
}

func (c *Cluster) startWorkers(locations []workerLocation, o Options) error {
	var seeds []string
	for _, n := range c.Entries {
		seeds = append(seeds, n.peerAddr())
	}
	for _, location := range locations {
		w, err := newWorker(location, c.Service, seeds, o)
		if err != nil {
			return err
		}
		c.Workers = append(c.Workers, w)
		if err := w.StartAgent(); err != nil {
			return err
		}
	}
	return nil
}

// PutDocument stores a new generation of the document, edited from the generation base.
func (c *Cluster) PutDocument(ctx context.Context, text []byte, base uint64) (document.Version, error) {
	return document.Put(ctx, c.storeClient, document.Proposal{
		FileName:       "trial",
		TOML:           text,
		BaseGeneration: base,
		Author:         "trial",
		Token:          uuid.NewString(),
		CreatedAt:      time.Now(),
	})
}

// WaitForDocument waits until every running entry is ready and sees every running agent alive,
// all of them with this generation or a later one active.
func (c *Cluster) WaitForDocument(ctx context.Context, generation uint64) error {
	return WaitFor(ctx, func(ctx context.Context) error { return c.checkDocument(ctx, generation) })
}

func (c *Cluster) checkDocument(ctx context.Context, generation uint64) error {
	for _, n := range c.Entries {
		if !n.Running() {
			continue
		}
		s, err := n.Client().Status(ctx)
		if err != nil {
			return err
		}
		if err := c.checkEntryDocument(s, generation); err != nil {
			return err
		}
	}
	return nil
}

// PlannerStats returns the statistics of the active planner; false if no entry is the planner
// leader.
func (c *Cluster) PlannerStats() (scheduler.Stats, bool) {
	n := c.PlannerEntry()
	if n == nil {
		return scheduler.Stats{}, false
	}
	return n.PlannerStats(c.Service)
}

// PlannerEntry returns the entry that leads the planner election, or nil. If a superseded
// leader does not know of its successor yet, the entry with the higher epoch is returned.
func (c *Cluster) PlannerEntry() *EntryNode {
	var planner *EntryNode
	var highest uint64
	for _, n := range c.Entries {
		if epoch := n.epoch(c.Service); epoch > highest {
			planner, highest = n, epoch
		}
	}
	return planner
}

// Audits returns the audit log of each worker's target.
func (c *Cluster) Audits() []standin.Audit {
	audits := make([]standin.Audit, 0, len(c.Workers))
	for _, w := range c.Workers {
		audits = append(audits, w.Target.Audit())
	}
	return audits
}

// URLs returns the base URLs of the entries' HTTP APIs.
func (c *Cluster) URLs() []string {
	urls := make([]string, 0, len(c.Entries))
	for _, n := range c.Entries {
		urls = append(urls, n.URL())
	}
	return urls
}

// Close stops everything immediately, without draining.
func (c *Cluster) Close() {
	for _, w := range c.Workers {
		w.close()
	}
	for _, n := range c.Entries {
		n.close()
	}
	if c.storeClient != nil {
		c.storeClient.Close()
	}
	if c.storeProxy != nil {
		c.storeProxy.close()
	}
	c.Store.Close()
}
