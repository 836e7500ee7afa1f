package nodeagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/internal/rotation"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// finder knows gateways and finds out which of them plans.
type finder struct {
	cfg  Config
	pool *wire.Pool
	log  logrus.FieldLogger

	mu    sync.Mutex
	found string // where the planner is, empty: not known
	epoch uint64 // of the planner found
	// dead is the last planner that did not answer, and deadAt when. Gateways go on
	// naming it until the next one has the duty.
	dead    planner
	deadAt  time.Duration
	members []string // gateways, the latest learnt first
	asked   rotation.Turn
	lostAt  time.Duration
	readAt  time.Duration // when the register was last read
}

// planner is one holding of the planner's duty.
type planner struct {
	address string
	epoch   uint64
}

const (
	// deadFor is how long a planner that did not answer is not tried again while others
	// still name it: a call to an instance that is gone takes until its timeout, and the
	// next planner would wait for the report meanwhile.
	deadFor = 1500 * time.Millisecond
	// askTimeout bounds one question to one gateway; a path takes milliseconds, a
	// handshake about 25.
	askTimeout = 300 * time.Millisecond
	// slowReport is how long a planner may take to answer a report before others are asked
	// for a newer one, and slowAgain the pause before they are asked again. An answer waits
	// for a quarter of a second at most for ends to be recorded.
	slowReport = 320 * time.Millisecond
	slowAgain  = 150 * time.Millisecond
	// mostMembers bounds the gateways that are remembered.
	mostMembers = 16
	// mostAsked is how many of them are asked at once. With hundreds of agents that all look
	// for the next planner, questions to all that they know would keep the gateways from
	// answering: 27,000 a second with 260 agents.
	mostAsked = 4
)

func newFinder(cfg Config, pool *wire.Pool) *finder {
	return &finder{cfg: cfg, pool: pool, log: cfg.Log, members: slices.Clone(cfg.Seeds)}
}

// locate returns the planner's address. It asks the known gateways where it is not
// known.
func (f *finder) locate(ctx context.Context) (string, bool) {
	f.mu.Lock()
	found := f.found
	f.mu.Unlock()
	if found != "" {
		return found, true
	}
	f.consultRegister()
	return f.ask(ctx, f.choose())
}

// choose returns the gateways to ask now, others each time.
func (f *finder) choose() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asked.Take(f.members, mostAsked)
}

// ask asks some gateways at once and takes the newest planner that one names.
func (f *finder) ask(ctx context.Context, members []string) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	replies := make(chan *link.PeerReply, len(members))
	for _, m := range members {
		go func() { replies <- f.askOne(ctx, m) }()
	}
	for range members {
		reply := <-replies
		if reply == nil {
			continue
		}
		f.learn(reply.Members)
		if f.take(reply) {
			return reply.Planner, true
		}
	}
	return "", false
}

// awaitNewer asks the gateways for a newer planner, once the present one has been slow to
// answer. It returns false when ctx ends first.
func (f *finder) awaitNewer(ctx context.Context) bool {
	f.mu.Lock()
	epoch := f.epoch
	f.mu.Unlock()
	for wait := slowReport; ; wait = slowAgain {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return false
		}
		f.ask(ctx, f.choose())
		f.mu.Lock()
		newer := f.epoch > epoch
		f.mu.Unlock()
		if newer {
			return true
		}
	}
}

func (f *finder) askOne(ctx context.Context, address string) *link.PeerReply {
	raw, err := f.pool.Call(ctx, address, &link.Peer{})
	if err != nil {
		return nil
	}
	reply, _ := raw.(*link.PeerReply)
	return reply
}

// take takes a planner that is not older than the last one.
func (f *finder) take(reply *link.PeerReply) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reply.Planner == "" || reply.Epoch < f.epoch {
		return false
	}
	if f.dead == (planner{reply.Planner, reply.Epoch}) && now()-f.deadAt < deadFor {
		return false
	}
	f.found, f.epoch, f.lostAt = reply.Planner, reply.Epoch, 0
	return true
}

// failed forgets a planner that did not answer.
func (f *finder) failed(address string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.found != address {
		return
	}
	f.log.WithField("planner", address).WithField("cause", err).Info("planner not reached")
	f.found = ""
	f.dead, f.deadAt = planner{address, f.epoch}, now()
	if f.lostAt == 0 {
		f.lostAt = now()
	}
}

// redirect follows a gateway that does not plan to the one it names.
func (f *finder) redirect(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.found != from {
		return
	}
	f.found = ""
	if to != from {
		f.found = to
	}
}

// stale forgets a planner that answered with an epoch that is over.
func (f *finder) stale(epoch uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.found = ""
	f.epoch = max(f.epoch, epoch+1)
}

// learn remembers gateways.
func (f *finder) learn(members []string) {
	if len(members) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range members {
		if !slices.Contains(f.members, m) {
			f.members = slices.Insert(f.members, 0, m)
		}
	}
	if len(f.members) > mostMembers {
		f.members = f.members[:mostMembers]
	}
}

// consultRegister reads the register of gateways when none of those known has answered
// for a while: all seeds may have been replaced.
func (f *finder) consultRegister() {
	if f.cfg.ListGateways == nil {
		return
	}
	t := now()
	f.mu.Lock()
	if f.lostAt == 0 {
		f.lostAt = t
	}
	due := t-f.lostAt > membersAfter && t-f.readAt > membersAfter
	if due {
		f.readAt = t
	}
	f.mu.Unlock()
	if !due {
		return
	}
	members, err := f.cfg.ListGateways()
	if err != nil {
		f.log.WithError(err).Info("register of gateways not read")
		return
	}
	f.learn(members)
}
