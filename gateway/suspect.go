package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/link"
)

// The planner's lease bounds for how long nobody plans after its machine has died, and it
// can't be short: it has to outlast a slow store. So the other gateways ask the planner all
// the time whether it is alive. The strongest of them, which the planner has named, deposes
// it when the store serves it and it has had no answer for suspectAfter; the others wait a
// little longer. A planner that lives after all is only replaced: its writes hold under its
// epoch alone, and workers refuse older epochs than they have seen.
const (
	// livenessInterval is the pause between two questions of an heir; each is a message of a few
	// bytes. The others ask less often, since they only matter when the heirs are gone too:
	// 54 gateways that all ask at this pace are 360 questions a second for the planner.
	livenessInterval     = 150 * time.Millisecond
	slowLivenessInterval = 4 * livenessInterval
	// minDetectionTimeout is how long no answer may come at least: several questions and the time
	// that a busy machine may be held up, as a core that is given out in tenths of a second is.
	minDetectionTimeout = 450 * time.Millisecond
	// detectionLatencyFactor: no answer may come for so many times as long as the slowest lately took. A
	// planner whose link is full answers late and lives; to depose it costs the runs under
	// way and puts the same load on the next, which goes the same way.
	detectionLatencyFactor = 3
	// peakLatencyDecay is what is left of the slowest answer's time with each answer after it: half
	// of it after five seconds of answers that are at once.
	peakLatencyDecay = 0.98
	// livenessTimeout is how long a late answer is waited for, to learn from: by then the
	// planner's lease has lapsed if it does not live.
	livenessTimeout = plannerLeaseTTL
	// selfStallThreshold between two looks at the silence shows that this process itself was held up or
	// suspended, and knows nothing of the time between.
	selfStallThreshold = 3 * livenessInterval
	// successorStagger is how much longer each gateway waits than the one before it among the
	// planner's heirs, and all others than the last heir: it takes 50 to 80 ms to gain the
	// duty and to say so. Were all to depose at once, the first would win, which may be one
	// that is too weak to read the records in time and is deposed in turn.
	successorStagger = 150 * time.Millisecond
)

// failureDetector is for how long the planner has not answered. It is safe for concurrent use.
type failureDetector struct {
	mu              sync.Mutex
	planner         string
	epoch           uint64
	answered        bool          // it has answered under this epoch
	unansweredSince time.Duration // when the first question since its last answer was sent; 0: none
	lastQueryAt     time.Duration // when the last one was
	lastCheckAt     time.Duration // when the silence was last looked at
	peakLatency     time.Duration // what the slowest answer lately took, of any planner
	successors      []string      // of the planner, in their order
}

// setSuccessors notes whom the planner names to take its duty.
func (d *failureDetector) setSuccessors(successors []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.successors = successors
}

// timeout returns how long the gateway at own waits for an answer before it deposes the
// planner: the first heir the shortest time. The mutex is held.
func (d *failureDetector) timeout(self string) time.Duration {
	rank := slices.Index(d.successors, self)
	if rank < 0 {
		rank = len(d.successors)
	}
	base := min(max(minDetectionTimeout, detectionLatencyFactor*d.peakLatency), plannerLeaseTTL)
	return base + time.Duration(rank)*successorStagger
}

// tracks says whether what is noted is of the planner that holds the duty under epoch. The
// mutex is held.
func (d *failureDetector) tracks(planner string, epoch uint64) bool {
	return d.planner == planner && d.epoch == epoch
}

// shouldQuery says whether the gateway at own is to ask the planner now: at once where another
// has the duty than was asked last, or the new one would be deposed for the silence of the
// one before it.
func (d *failureDetector) shouldQuery(now time.Duration, self, planner string, epoch uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.tracks(planner, epoch) {
		return true
	}
	interval := slowLivenessInterval
	if len(d.successors) == 0 || slices.Contains(d.successors, self) {
		interval = livenessInterval
	}
	return now-d.lastQueryAt >= interval
}

// recordQuery notes a question that is about to be sent.
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

// recordCheck notes that the silence is looked at, and lets it count from now where this process
// was held up. The mutex is held.
func (d *failureDetector) recordCheck(now time.Duration) {
	if d.unansweredSince != 0 && now-d.lastCheckAt > selfStallThreshold {
		d.unansweredSince = now
	}
	d.lastCheckAt = now
}

// recordAnswer notes an recordAnswer of the planner that holds the duty under epoch.
func (d *failureDetector) recordAnswer(planner string, epoch uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tracks(planner, epoch) {
		d.answered, d.unansweredSince = true, 0
	}
}

// recordLatency notes how long an answer recordLatency, of whichever planner: what slows one down slows the
// next down too.
func (d *failureDetector) recordLatency(latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peakLatency = max(latency, time.Duration(peakLatencyDecay*float64(d.peakLatency)))
}

// suspects says whether the gateway at own is to take the planner for dead. One that has never
// answered under its epoch is not: its lease may be all that is known of it, and it lapses.
func (d *failureDetector) suspects(now time.Duration, self string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordCheck(now)
	return d.answered && d.unansweredSince != 0 && now-d.unansweredSince > d.timeout(self)
}

// livenessLoop asks the planner whether it is alive.
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
		if g.failureDetector.suspects(lease.BootTime(), g.cfg.Listen) && g.cfg.SinceStoreReply() < storeReplyTTL {
			g.deposePlanner(planner, epoch)
		}
	}
}

func (g *Gateway) queryLiveness(planner string, epoch uint64) {
	ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), livenessTimeout)
	defer cancel()
	sent := lease.BootTime()
	raw, err := g.pool.Call(ctx, planner, &link.Alive{})
	if err != nil {
		return // its silence is what counts
	}
	g.failureDetector.recordLatency(lease.BootTime() - sent)
	if reply, ok := raw.(*link.AliveReply); ok && reply.Epoch == epoch {
		g.failureDetector.recordAnswer(planner, epoch)
	}
}

// deposePlanner makes this gateway take the duty of a planner that is believed to be dead.
func (g *Gateway) deposePlanner(planner string, epoch uint64) {
	if !g.plannerLease.Depose() {
		return // it waits for the store, or another was faster
	}
	g.log.WithField("planner", planner).WithField("epoch", epoch).Warn("planner does not answer; its duty is taken")
}

// predecessorExtension returns how much longer than usual a predecessor's grants may last. One that
// was deposed and lives may grant until its lease has lapsed; and whoever takes the duty
// can't tell, since another gateway may have deposed it. It only concerns workers that do
// not report to the successor.
func (g *Gateway) predecessorExtension(now time.Duration) time.Duration {
	return g.storeStatus.predecessorExtension(now) + plannerLeaseTTL
}
