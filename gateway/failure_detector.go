package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/link"
)

// To replace a failed planner before its lease expires, the other gateways query its liveness.
// The first successor that the planner has named deposes it if it has not answered within the
// detection timeout and the store serves that gateway; the others wait a little longer. Deposing
// a planner that is still alive is safe: its writes are conditional on its epoch, and workers
// refuse orders of an older epoch.
const (
	// livenessInterval is the pause between liveness queries of a preferred successor. Other
	// gateways query less often, since they matter only if the successors have failed too, and
	// queries from all at this rate would load the planner.
	livenessInterval     = 150 * time.Millisecond
	slowLivenessInterval = 4 * livenessInterval
	// minDetectionTimeout is the minimum time without an answer before the planner is
	// suspected. It covers several queries and the delays of a busy instance.
	minDetectionTimeout = 450 * time.Millisecond
	// detectionLatencyFactor scales the slowest recent answer to the detection timeout. A
	// planner on a saturated link answers late; deposing it would interrupt its runs and move
	// the same load to its successor.
	detectionLatencyFactor = 3
	// peakLatencyDecay is the part of the peak latency that remains after each faster answer.
	peakLatencyDecay = 0.98
	// livenessTimeout bounds the wait for an answer. Late answers still update the peak
	// latency; after this time the planner's lease has expired if it has failed.
	livenessTimeout = plannerLeaseTTL
	// selfStallThreshold is the gap between two checks that shows that this process itself was
	// stalled or suspended and cannot judge the time in between.
	selfStallThreshold = 3 * livenessInterval
	// successorStagger is the additional wait of each successor over the one before it, and of
	// all other gateways over the last successor. It exceeds the 50 to 80 ms that it takes to
	// acquire the lease and announce it. Without it, a gateway too weak to load the records in
	// time could win, and be deposed in turn.
	successorStagger = 150 * time.Millisecond
)

// failureDetector tracks for how long the planner has not answered liveness queries. It is safe
// for concurrent use.
type failureDetector struct {
	mu              sync.Mutex
	planner         string
	epoch           uint64
	answered        bool          // the planner has answered under this epoch
	unansweredSince time.Duration // when the first query since the last answer was sent; 0 if none
	lastQueryAt     time.Duration
	lastReplyAt     time.Duration // when the active planner last replied to a peer query
	lastCheckAt     time.Duration
	unservedAt      time.Duration // when the store last did not serve this gateway; 0 if never
	peakLatency     time.Duration // decaying maximum of answer times, across planners
	successors      []string      // as named by the planner, in order of preference
}

// setSuccessors records the planner's preferred successors.
func (d *failureDetector) setSuccessors(successors []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.successors = successors
}

// namedSuccessors returns the preferred successors that a planner named last.
func (d *failureDetector) namedSuccessors() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.successors)
}

// successorRank returns the place of a gateway among the planner's preferred successors. Those
// that are not named share the place after the last one.
func (d *failureDetector) successorRank(address string) (rank int, named bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rank(address)
}

// rank is successorRank with the mutex held.
func (d *failureDetector) rank(address string) (rank int, named bool) {
	if rank := slices.Index(d.successors, address); rank >= 0 {
		return rank, true
	}
	return len(d.successors), false
}

// timeout returns how long this gateway waits for an answer before it deposes the planner. The
// first successor waits the shortest time. The mutex is held.
func (d *failureDetector) timeout(self string) time.Duration {
	rank, _ := d.rank(self)
	base := min(max(minDetectionTimeout, detectionLatencyFactor*d.peakLatency), plannerLeaseTTL)
	return base + time.Duration(rank)*successorStagger
}

// tracks reports whether the recorded state belongs to the given planner and epoch. The mutex
// is held.
func (d *failureDetector) tracks(planner string, epoch uint64) bool {
	return d.planner == planner && d.epoch == epoch
}

// firstSuccessor returns the most preferred successor other than this gateway, if any is named.
func (d *failureDetector) firstSuccessor(self string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.successors {
		if s != self {
			return []string{s}
		}
	}
	return nil
}

// shouldQuery reports whether this gateway should query the planner now. A new planner is
// queried at once, so that it is not deposed because its predecessor did not answer. Gateways
// other than its successors query only if it does not reply to their peer queries.
func (d *failureDetector) shouldQuery(now time.Duration, self, planner string, epoch uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.tracks(planner, epoch) {
		return true
	}
	if _, named := d.rank(self); named || len(d.successors) == 0 {
		return now-d.lastQueryAt >= livenessInterval
	}
	return now-max(d.lastQueryAt, d.lastReplyAt) >= slowLivenessInterval
}

// recordQuery records a query that is about to be sent.
func (d *failureDetector) recordQuery(now time.Duration, planner string, epoch uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.tracks(planner, epoch) {
		d.planner, d.epoch, d.answered, d.unansweredSince = planner, epoch, false, 0
	}
	d.recordCheck(now)
	if d.unansweredSince == 0 {
		d.unansweredSince = now
	}
	d.lastQueryAt = now
}

// recordCheck records the time of a check. If this process was stalled since the last one, it
// restarts the measurement of the time without an answer. The mutex is held.
func (d *failureDetector) recordCheck(now time.Duration) {
	if d.unansweredSince != 0 && now-d.lastCheckAt > selfStallThreshold {
		d.unansweredSince = now
	}
	d.lastCheckAt = now
}

// recordAnswer records an answer of the planner under epoch.
func (d *failureDetector) recordAnswer(planner string, epoch uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tracks(planner, epoch) {
		d.answered, d.unansweredSince = true, 0
	}
}

// recordPeerReply records a reply of the planner to a peer query, which shows under which epoch
// it is active; zero means that it is not.
func (d *failureDetector) recordPeerReply(now time.Duration, planner string, epoch uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if epoch != 0 && d.tracks(planner, epoch) {
		d.answered, d.unansweredSince, d.lastReplyAt = true, 0, now
	}
}

// recordLatency updates the peak latency with the time that an answer took. It is kept across
// planners, since what slows down one slows down the next.
func (d *failureDetector) recordLatency(latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peakLatency = max(latency, time.Duration(peakLatencyDecay*float64(d.peakLatency)))
}

// recordUnserved records that the store does not serve this gateway.
func (d *failureDetector) recordUnserved(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unservedAt = now
}

// suspects reports whether this gateway should depose the planner. A planner that has not
// answered under its epoch yet is not suspected; it may still be loading the records. After an
// outage of the store, in which no planner is active, the successors go first as well.
func (d *failureDetector) suspects(now time.Duration, self string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordCheck(now)
	rank, _ := d.rank(self)
	if d.unservedAt != 0 && now-d.unservedAt <= time.Duration(rank)*successorStagger {
		return false
	}
	return d.answered && d.unansweredSince != 0 && now-d.unansweredSince > d.timeout(self)
}

// livenessLoop queries the planner's liveness and deposes it if it is suspected.
func (g *Gateway) livenessLoop() error {
	for {
		select {
		case <-time.After(livenessInterval):
		case <-g.tomb.Dying():
			return nil
		}
		epoch, planner := g.planner.get()
		if planner == "" || planner == g.cfg.Listen || g.stopping.Load() {
			continue
		}
		if now := lease.BootTime(); g.failureDetector.shouldQuery(now, g.cfg.Listen, planner, epoch) {
			g.failureDetector.recordQuery(now, planner, epoch)
			go g.queryLiveness(planner, epoch)
		}
		suspected := g.failureDetector.suspects(lease.BootTime(), g.cfg.Listen)
		switch {
		case !g.storeReachable():
			g.failureDetector.recordUnserved(lease.BootTime())
		case suspected:
			g.deposePlanner(planner, epoch)
		}
	}
}

func (g *Gateway) queryLiveness(planner string, epoch uint64) {
	ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), livenessTimeout)
	defer cancel()
	g.counters.LivenessQueries.Add(1)
	sent := lease.BootTime()
	raw, err := g.pool.Call(ctx, planner, &link.LivenessQuery{})
	if err != nil {
		return // suspects detects a missing answer
	}
	g.failureDetector.recordLatency(lease.BootTime() - sent)
	if reply, ok := raw.(*link.LivenessReply); ok && reply.Epoch == epoch {
		g.failureDetector.recordAnswer(planner, epoch)
	}
}

// deposePlanner makes the waiting lease candidate of this gateway replace a planner that is
// believed to have failed.
func (g *Gateway) deposePlanner(planner string, epoch uint64) {
	g.deposedAt.Store(int64(g.clock()))
	if !g.plannerLease.ForceTakeover(epoch) {
		return // the candidate waits for the store, or another gateway was faster
	}
	g.log.WithField("planner", planner).WithField("epoch", epoch).Warn("planner is unresponsive; acquiring the planner lease")
}
