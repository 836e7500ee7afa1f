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
	// peerProbeInterval is the time between two probes of a peer.
	peerProbeInterval = 250 * time.Millisecond
	// probedPeerCount is how many peers each entry probes: those that follow it in the
	// order of ids. The cost per entry is thus constant, and a peer is still probed when
	// one of its probers has died too.
	probedPeerCount = 2
	// revokeTimeout limits the call that revokes a dead peer's lease.
	revokeTimeout = time.Second
)

// prober revokes the leases of entries whose process has ended, so that candidates need
// not wait for the leases to expire. The proof is that no process listens on the peer's
// port: its instance answers with ICMP port unreachable, seen as a refused connection. A
// peer that is unresponsive, partitioned, paused or overloaded does not refuse; its lease
// has to expire.
//
// A false positive, such as a firewall that refuses in the peer's place, is safe: the
// peer loses its leaderships as it would by expiry, agents reject its lower epoch, and
// job records are written by compare-and-swap. It happens at most once per incarnation.
type prober struct {
	entry *Entry

	mu      sync.Mutex
	probes  map[probeTarget]context.CancelFunc
	revoked map[string]uint64 // incarnations whose process was found to have ended, by entry id
}

func newProber(e *Entry) *prober {
	return &prober{
		entry:   e,
		probes:  make(map[probeTarget]context.CancelFunc),
		revoked: make(map[string]uint64),
	}
}

// run keeps the set of probes up to date until the entry stops.
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

// nextPeers returns the n peers that follow ownID in the order of ids, wrapping around.
// It sorts peers in place.
func nextPeers(ownID string, peers []entryRecord, n int) []entryRecord {
	slices.SortFunc(peers, func(a, b entryRecord) int { return strings.Compare(a.ID, b.ID) })
	start, _ := slices.BinarySearchFunc(peers, ownID, func(p entryRecord, id string) int { return strings.Compare(p.ID, id) })
	return append(peers[start:len(peers):len(peers)], peers[:start]...)[:min(n, len(peers))]
}

// setTargets starts and cancels probes so that exactly the targets are probed.
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

// probeTarget identifies a probe: a peer under one lease.
type probeTarget struct {
	id, address string
	lease       store.LeaseID
}

// probe probes one peer until its process has ended or ctx is done. It then revokes the
// peer's lease.
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

// revoke revokes the lease of a peer. A lease that no longer exists is no error.
func (p *prober) revoke(ctx context.Context, peer entryRecord) error {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	err := p.entry.store.Revoke(ctx, peer.lease)
	switch {
	case err == nil:
		p.entry.metrics.Add(metrics.DeadEntryLeasesRevoked, 1)
		p.entry.log.WithFields(logrus.Fields{"peer": peer.ID, "address": peer.Address}).Info("entry's process is gone, lease revoked")
	case eris.Is(err, store.ErrLeaseNotFound):
		return nil // revoked by another entry, or expired
	}
	return err
}
