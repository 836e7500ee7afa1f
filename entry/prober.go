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
	// peerProbeInterval is the time between two probes of a peer: 29 bytes each with
	// headers, unanswered while the peer lives.
	peerProbeInterval = 250 * time.Millisecond
	// probedPeerCount is how many peers each entry probes: the next ones in the order
	// of ids, so that the cost does not grow with the entries, and each is probed
	// although one of its probers may have died too.
	probedPeerCount = 2
	// revokeTimeout bounds the call that revokes a dead peer's lease.
	revokeTimeout = time.Second
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
	entry *Entry

	mu      sync.Mutex
	probes  map[probeTarget]context.CancelFunc
	revoked map[string]uint64 // incarnations whose lease was revoked, by id
}

func newProber(e *Entry) *prober {
	return &prober{
		entry:   e,
		probes:  make(map[probeTarget]context.CancelFunc),
		revoked: make(map[string]uint64),
	}
}

// run keeps the probes until the entry stops.
func (p *prober) run() error {
	ctx := p.entry.tomb.Context(context.Background())
	ticker := time.NewTicker(peerProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.setTargets(ctx, nextPeers(p.entry.cfg.ID, p.entry.registry.registeredPeers(), probedPeerCount))
		}
	}
}

// nextPeers returns the n peers that come after own in the order of ids, as in a ring.
func nextPeers(ownID string, peers []entryRecord, n int) []entryRecord {
	slices.SortFunc(peers, func(a, b entryRecord) int { return strings.Compare(a.ID, b.ID) })
	start, _ := slices.BinarySearchFunc(peers, ownID, func(p entryRecord, id string) int { return strings.Compare(p.ID, id) })
	return append(peers[start:len(peers):len(peers)], peers[:start]...)[:min(n, len(peers))]
}

// setTargets begins and ends probes so that just the targets are probed.
func (p *prober) setTargets(ctx context.Context, targets []entryRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := make(map[probeTarget]bool)
	for _, peer := range targets {
		key := probeTarget{id: peer.ID, address: peer.Address, lease: peer.lease}
		wanted[key] = true
		if p.probes[key] == nil && p.revoked[peer.ID] != peer.Incarnation {
			probeCtx, cancel := context.WithCancel(ctx)
			p.probes[key] = cancel
			p.entry.tomb.Go(func() error { p.probe(probeCtx, peer); return nil })
		}
	}
	for key, cancel := range p.probes {
		if !wanted[key] {
			cancel()
			delete(p.probes, key)
		}
	}
}

// probeTarget is what one probe is of: a peer under one lease.
type probeTarget struct {
	id, address string
	lease       store.LeaseID
}

// probe probes one peer until its process has ended, or ctx.
func (p *prober) probe(ctx context.Context, peer entryRecord) {
	if peer.lease == 0 || !awaitPortRefusal(ctx, peer.Address) {
		return
	}
	p.mu.Lock()
	p.revoked[peer.ID] = peer.Incarnation
	p.mu.Unlock()
	for ctx.Err() == nil && p.revoke(ctx, peer) != nil {
		sleep(ctx, peerProbeInterval)
	}
}

// revoke ends the lease of a peer.
func (p *prober) revoke(ctx context.Context, peer entryRecord) error {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	err := p.entry.store.Revoke(ctx, peer.lease)
	switch {
	case err == nil:
		p.entry.metrics.Add(metrics.DeadEntriesRevoked, 1)
		p.entry.log.WithFields(logrus.Fields{"peer": peer.ID, "address": peer.Address}).Info("entry's process is gone, lease revoked")
	case eris.Is(err, store.ErrLeaseNotFound):
		return nil // another was first, or it has lapsed
	}
	return err
}
