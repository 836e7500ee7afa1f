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
	// aliveEvery is the pause between two questions of an heir; each is a message of a few
	// bytes. The others ask less often, since they only matter when the heirs are gone too:
	// 54 gateways that all ask at this pace are 360 questions a second for the planner.
	aliveEvery  = 150 * time.Millisecond
	othersEvery = 4 * aliveEvery
	// suspectAfter is how long no answer may come at least: several questions and the time
	// that a busy machine may be held up, as a core that is given out in tenths of a second is.
	suspectAfter = 450 * time.Millisecond
	// slowFactor: no answer may come for so many times as long as the slowest lately took. A
	// planner whose link is full answers late and lives; to depose it costs the runs under
	// way and puts the same load on the next, which goes the same way.
	slowFactor = 3
	// slowDecay is what is left of the slowest answer's time with each answer after it: half
	// of it after five seconds of answers that are at once.
	slowDecay = 0.98
	// answerWait is how long a late answer is waited for, to learn from: by then the
	// planner's lease has lapsed if it does not live.
	answerWait = dutyTTL
	// ownGap between two looks at the silence shows that this process itself was held up or
	// suspended, and knows nothing of the time between.
	ownGap = 3 * aliveEvery
	// heirStagger is how much longer each gateway waits than the one before it among the
	// planner's heirs, and all others than the last heir: it takes 50 to 80 ms to gain the
	// duty and to say so. Were all to depose at once, the first would win, which may be one
	// that is too weak to read the records in time and is deposed in turn.
	heirStagger = 150 * time.Millisecond
)

// suspicion is for how long the planner has not answered. It is safe for concurrent use.
type suspicion struct {
	mu      sync.Mutex
	planner string
	epoch   uint64
	heard   bool          // it has answered under this epoch
	asked   time.Duration // when the first question since its last answer was sent; 0: none
	last    time.Duration // when the last one was
	looked  time.Duration // when the silence was last looked at
	slow    time.Duration // what the slowest answer lately took, of any planner
	heirs   []string      // of the planner, in their order
}

// inherits notes whom the planner names to take its duty.
func (s *suspicion) inherits(heirs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heirs = heirs
}

// patience returns how long the gateway at own waits for an answer before it deposes the
// planner: the first heir the shortest time. The mutex is held.
func (s *suspicion) patience(own string) time.Duration {
	rank := slices.Index(s.heirs, own)
	if rank < 0 {
		rank = len(s.heirs)
	}
	usual := min(max(suspectAfter, slowFactor*s.slow), dutyTTL)
	return usual + time.Duration(rank)*heirStagger
}

// isOf says whether what is noted is of the planner that holds the duty under epoch. The
// mutex is held.
func (s *suspicion) isOf(planner string, epoch uint64) bool {
	return s.planner == planner && s.epoch == epoch
}

// wants says whether the gateway at own is to ask the planner now: at once where another
// has the duty than was asked last, or the new one would be deposed for the silence of the
// one before it.
func (s *suspicion) wants(now time.Duration, own, planner string, epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isOf(planner, epoch) {
		return true
	}
	every := othersEvery
	if len(s.heirs) == 0 || slices.Contains(s.heirs, own) {
		every = aliveEvery
	}
	return now-s.last >= every
}

// ask notes a question that is about to be sent.
func (s *suspicion) ask(now time.Duration, planner string, epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isOf(planner, epoch) {
		s.planner, s.epoch, s.heard, s.asked = planner, epoch, false, 0
	}
	s.look(now)
	if s.asked == 0 {
		s.asked = now
	}
	s.last = now
}

// look notes that the silence is looked at, and lets it count from now where this process
// was held up. The mutex is held.
func (s *suspicion) look(now time.Duration) {
	if s.asked != 0 && now-s.looked > ownGap {
		s.asked = now
	}
	s.looked = now
}

// answer notes an answer of the planner that holds the duty under epoch.
func (s *suspicion) answer(planner string, epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isOf(planner, epoch) {
		s.heard, s.asked = true, 0
	}
}

// took notes how long an answer took, of whichever planner: what slows one down slows the
// next down too.
func (s *suspicion) took(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = max(d, time.Duration(slowDecay*float64(s.slow)))
}

// due says whether the gateway at own is to take the planner for dead. One that has never
// answered under its epoch is not: its lease may be all that is known of it, and it lapses.
func (s *suspicion) due(now time.Duration, own string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.look(now)
	return s.heard && s.asked != 0 && now-s.asked > s.patience(own)
}

// aliveLoop asks the planner whether it is alive.
func (g *Gateway) aliveLoop() error {
	for {
		select {
		case <-time.After(aliveEvery):
		case <-g.tomb.Dying():
			return nil
		}
		epoch, planner := g.planners.get()
		if planner == "" || planner == g.cfg.Listen || g.stopping.Load() {
			continue
		}
		if now := lease.BootTime(); g.suspected.wants(now, g.cfg.Listen, planner, epoch) {
			g.suspected.ask(now, planner, epoch)
			go g.askAlive(planner, epoch)
		}
		if g.suspected.due(lease.BootTime(), g.cfg.Listen) && g.cfg.SinceStoreReply() < servedFresh {
			g.depose(planner, epoch)
		}
	}
}

func (g *Gateway) askAlive(planner string, epoch uint64) {
	ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), answerWait)
	defer cancel()
	sent := lease.BootTime()
	raw, err := g.pool.Call(ctx, planner, &link.Alive{})
	if err != nil {
		return // its silence is what counts
	}
	g.suspected.took(lease.BootTime() - sent)
	if reply, ok := raw.(*link.AliveReply); ok && reply.Epoch == epoch {
		g.suspected.answer(planner, epoch)
	}
}

// depose makes this gateway take the duty of a planner that is believed to be dead.
func (g *Gateway) depose(planner string, epoch uint64) {
	if !g.duty.Depose() {
		return // it waits for the store, or another was faster
	}
	g.log.WithField("planner", planner).WithField("epoch", epoch).Warn("planner does not answer; its duty is taken")
}

// inherited returns how much longer than usual a predecessor's grants may last. One that
// was deposed and lives may grant until its lease has lapsed; and whoever takes the duty
// can't tell, since another gateway may have deposed it. It only concerns workers that do
// not report to the successor.
func (g *Gateway) inherited(now time.Duration) time.Duration {
	return g.outage.inherited(now) + dutyTTL
}
