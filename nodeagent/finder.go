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

// plannerFinder knows gateways and finds out which of them plans.
type plannerFinder struct {
	cfg  Config
	pool *wire.Pool
	log  logrus.FieldLogger

	mu      sync.Mutex
	address string // where the planner is, empty: not known
	epoch   uint64 // of the planner found
	// lastFailed is the last planner that did not answer, and deadAt when. Gateways go on
	// naming it until the next one has the duty.
	lastFailed     plannerID
	lastFailedAt   time.Duration
	gateways       []string // gateways, the latest learnt first
	rotation       rotation.Turn
	lostSince      time.Duration
	registryReadAt time.Duration // when the register was last read
}

// plannerID is one holding of the plannerID's duty.
type plannerID struct {
	address string
	epoch   uint64
}

const (
	// failedPlannerBackoff is how long a planner that did not answer is not tried again while others
	// still name it: a call to an instance that is gone takes until its timeout, and the
	// next planner would wait for the report meanwhile.
	failedPlannerBackoff = 1500 * time.Millisecond
	// gatewayQueryTimeout bounds one question to one gateway; a path takes milliseconds, a
	// handshake about 25.
	gatewayQueryTimeout = 300 * time.Millisecond
	// slowReportThreshold is how long a planner may take to answer a report before others are asked
	// for a newer one, and slowAgain the pause before they are asked again. An answer waits
	// for a quarter of a second at most for ends to be recorded.
	slowReportThreshold  = 320 * time.Millisecond
	newerPlannerInterval = 150 * time.Millisecond
	// maxGateways bounds the gateways that are remembered.
	maxGateways = 16
	// maxQueried is how many of them are asked at once. With hundreds of agents that all look
	// for the next planner, questions to all that they know would keep the gateways from
	// answering: 27,000 a second with 260 agents.
	maxQueried = 4
)

func newPlannerFinder(cfg Config, pool *wire.Pool) *plannerFinder {
	return &plannerFinder{cfg: cfg, pool: pool, log: cfg.Log, gateways: slices.Clone(cfg.Seeds)}
}

// locate returns the planner's address. It asks the known gateways where it is not
// known.
func (f *plannerFinder) locate(ctx context.Context) (string, bool) {
	f.mu.Lock()
	address := f.address
	f.mu.Unlock()
	if address != "" {
		return address, true
	}
	f.readRegistry()
	return f.queryGateways(ctx, f.chooseGateways())
}

// chooseGateways returns the gateways to ask now, others each time.
func (f *plannerFinder) chooseGateways() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rotation.Take(f.gateways, maxQueried)
}

// queryGateways asks some gateways at once and takes the newest planner that one names.
func (f *plannerFinder) queryGateways(ctx context.Context, gateways []string) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, gatewayQueryTimeout)
	defer cancel()
	replies := make(chan *link.PeerReply, len(gateways))
	for _, gateway := range gateways {
		go func() { replies <- f.queryGateway(ctx, gateway) }()
	}
	for range gateways {
		reply := <-replies
		if reply == nil {
			continue
		}
		f.addGateways(reply.Members)
		if f.accept(reply) {
			return reply.Planner, true
		}
	}
	return "", false
}

// awaitNewerPlanner asks the gateways for a newer planner, once the present one has been slow to
// answer. It returns false when ctx ends first.
func (f *plannerFinder) awaitNewerPlanner(ctx context.Context) bool {
	f.mu.Lock()
	epoch := f.epoch
	f.mu.Unlock()
	for wait := slowReportThreshold; ; wait = newerPlannerInterval {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return false
		}
		f.queryGateways(ctx, f.chooseGateways())
		f.mu.Lock()
		newer := f.epoch > epoch
		f.mu.Unlock()
		if newer {
			return true
		}
	}
}

func (f *plannerFinder) queryGateway(ctx context.Context, address string) *link.PeerReply {
	raw, err := f.pool.Call(ctx, address, &link.Peer{})
	if err != nil {
		return nil
	}
	reply, _ := raw.(*link.PeerReply)
	return reply
}

// accept takes a planner that is not older than the last one.
func (f *plannerFinder) accept(reply *link.PeerReply) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reply.Planner == "" || reply.Epoch < f.epoch {
		return false
	}
	if f.lastFailed == (plannerID{reply.Planner, reply.Epoch}) && now()-f.lastFailedAt < failedPlannerBackoff {
		return false
	}
	f.address, f.epoch, f.lostSince = reply.Planner, reply.Epoch, 0
	return true
}

// markFailed forgets a planner that did not answer.
func (f *plannerFinder) markFailed(address string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.address != address {
		return
	}
	f.log.WithField("planner", address).WithField("cause", err).Info("planner not reached")
	f.address = ""
	f.lastFailed, f.lastFailedAt = plannerID{address, f.epoch}, now()
	if f.lostSince == 0 {
		f.lostSince = now()
	}
}

// redirect follows a gateway that does not plan to the one it names.
func (f *plannerFinder) redirect(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.address != from {
		return
	}
	f.address = ""
	if to != from {
		f.address = to
	}
}

// rejectEpoch forgets a planner that answered with an epoch that is over.
func (f *plannerFinder) rejectEpoch(epoch uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.address = ""
	f.epoch = max(f.epoch, epoch+1)
}

// addGateways remembers gateways.
func (f *plannerFinder) addGateways(gateways []string) {
	if len(gateways) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, gateway := range gateways {
		if !slices.Contains(f.gateways, gateway) {
			f.gateways = slices.Insert(f.gateways, 0, gateway)
		}
	}
	if len(f.gateways) > maxGateways {
		f.gateways = f.gateways[:maxGateways]
	}
}

// readRegistry reads the register of gateways when none of those known has answered
// for a while: all seeds may have been replaced.
func (f *plannerFinder) readRegistry() {
	if f.cfg.ListGateways == nil {
		return
	}
	checkedAt := now()
	f.mu.Lock()
	if f.lostSince == 0 {
		f.lostSince = checkedAt
	}
	due := checkedAt-f.lostSince > registryReadDelay && checkedAt-f.registryReadAt > registryReadDelay
	if due {
		f.registryReadAt = checkedAt
	}
	f.mu.Unlock()
	if !due {
		return
	}
	gateways, err := f.cfg.ListGateways()
	if err != nil {
		f.log.WithError(err).Info("register of gateways not read")
		return
	}
	f.addGateways(gateways)
}
