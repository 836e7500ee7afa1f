package entry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/store"
)

const (
	// peerProbeEvery is the time between two probes of a peer: 29 bytes each with
	// headers, unanswered while the peer lives.
	peerProbeEvery = 250 * time.Millisecond
	// probedPeers is how many peers each entry probes: the next ones in the order
	// of ids, so that the cost does not grow with the entries, and each is probed
	// although one of its probers may have died too.
	probedPeers = 2
	// revokeWait bounds the call that revokes a dead peer's lease.
	revokeWait = time.Second
)

// prober ends the leases of entries whose process is gone, so that the next
// candidates need not wait for them to lapse.
//
// Proof is that nobody listens on the peer's port any more: its machine says so
// (ICMP port unreachable, seen as a refused connection), and it does so only where
// the process has ended. A peer that is silent, cut off, paused or overloaded is
// never refused; its lease has to lapse.
//
// A false suspicion, as by a firewall that refuses in place of the peer, is
// harmless: the peer loses its duties as it would by a lapse, agents refuse its
// lower epoch, and job records are compared and swapped. It costs a start of a
// planner for each of its duties, and that once in the peer's life only.
type prober struct {
	e *Entry

	mu     sync.Mutex
	probes map[probed]context.CancelFunc
	ended  map[string]uint64 // incarnations whose lease was revoked, by id
}

func newProber(e *Entry) *prober {
	return &prober{
		e:      e,
		probes: make(map[probed]context.CancelFunc),
		ended:  make(map[string]uint64),
	}
}

// run keeps the probes until the entry stops.
func (p *prober) run() error {
	ctx := p.e.t.Context(context.Background())
	ticker := time.NewTicker(peerProbeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.follow(ctx, next(p.e.cfg.ID, p.e.registry.present(), probedPeers))
		}
	}
}

// next returns the n peers that come after own in the order of ids, as in a ring.
func next(own string, peers []peerEntry, n int) []peerEntry {
	slices.SortFunc(peers, func(a, b peerEntry) int { return strings.Compare(a.ID, b.ID) })
	first, _ := slices.BinarySearchFunc(peers, own, func(p peerEntry, id string) int { return strings.Compare(p.ID, id) })
	return append(peers[first:len(peers):len(peers)], peers[:first]...)[:min(n, len(peers))]
}

// follow begins and ends probes so that just the targets are probed.
func (p *prober) follow(ctx context.Context, targets []peerEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := make(map[probed]bool)
	for _, t := range targets {
		key := probed{id: t.ID, address: t.Address, lease: t.lease}
		wanted[key] = true
		if p.probes[key] == nil && p.ended[t.ID] != t.Incarnation {
			probing, cancel := context.WithCancel(ctx)
			p.probes[key] = cancel
			p.e.t.Go(func() error { p.probe(probing, t); return nil })
		}
	}
	for key, cancel := range p.probes {
		if !wanted[key] {
			cancel()
			delete(p.probes, key)
		}
	}
}

// probed is what one probe is of: a peer under one lease.
type probed struct {
	id, address string
	lease       store.LeaseID
}

// probe probes one peer until its process has ended, or ctx.
func (p *prober) probe(ctx context.Context, t peerEntry) {
	if t.lease == 0 || !awaitRefusal(ctx, t.Address) {
		return
	}
	p.mu.Lock()
	p.ended[t.ID] = t.Incarnation
	p.mu.Unlock()
	for ctx.Err() == nil && p.revoke(ctx, t) != nil {
		pause(ctx, peerProbeEvery)
	}
}

// revoke ends the lease of a peer.
func (p *prober) revoke(ctx context.Context, t peerEntry) error {
	ctx, cancel := context.WithTimeout(ctx, revokeWait)
	defer cancel()
	err := p.e.store.Revoke(ctx, t.lease)
	switch {
	case err == nil:
		p.e.metrics.Add(metrics.DeadEntriesRevoked, 1)
		p.e.log.WithFields(logrus.Fields{"peer": t.ID, "address": t.Address}).Info("entry's process is gone, lease revoked")
	case eris.Is(err, store.ErrLeaseNotFound):
		return nil // another was first, or it has lapsed
	}
	return err
}
