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

// plannerFinder keeps a list of gateways and determines which one is the planner. It is safe
// for concurrent use.
type plannerFinder struct {
	cfg      Config
	pool     *wire.Pool
	counters *Counters
	log      logrus.FieldLogger

	mu      sync.Mutex
	address string // of the planner; empty if not known
	epoch   uint64 // of the last planner found
	// lastFailed is the last planner that did not answer, and lastFailedAt when. Gateways
	// continue to name it until the next one holds the planner lease.
	lastFailed     plannerID
	lastFailedAt   time.Duration
	gateways       []string // most recently learned first
	rotation       rotation.Selector
	chosen         []string // queried last, and again as long as one of them answers
	chosenAt       time.Duration
	lostSince      time.Duration // since when no planner is known; 0 if one is
	answeredAt     time.Duration // when a gateway last answered a query
	registryReadAt time.Duration
}

// plannerID identifies one period in which a gateway holds the planner lease.
type plannerID struct {
	address string
	epoch   uint64
}

const (
	// failedPlannerBackoff is how long a planner that did not answer is not tried again while
	// others still name it. A call to a failed instance takes until its timeout, and would
	// delay the report to the next planner.
	failedPlannerBackoff = 1500 * time.Millisecond
	// gatewayQueryTimeout bounds one query to a gateway, including a handshake.
	gatewayQueryTimeout = 300 * time.Millisecond
	// slowReportThreshold is how long a planner may take to answer a report before other
	// gateways are asked for a newer one, and newerPlannerInterval the pause before they are
	// asked again. The threshold exceeds the planner's wait for ends to be recorded.
	slowReportThreshold  = 320 * time.Millisecond
	newerPlannerInterval = 150 * time.Millisecond
	// maxGateways bounds the number of remembered gateways.
	maxGateways = 16
	// maxChoiceAge is how long the same gateways are queried, in case they are cut off from the
	// planner.
	maxChoiceAge = 2 * time.Second
	// maxQueried is how many gateways are queried at once. If many agents search for the
	// planner at the same time, queries to all gateways would overload them.
	maxQueried = 4
)

func newPlannerFinder(cfg Config, pool *wire.Pool, counters *Counters) *plannerFinder {
	return &plannerFinder{cfg: cfg, pool: pool, counters: counters, log: cfg.Log, gateways: slices.Clone(cfg.Seeds)}
}

// locate returns the planner's address. If it is not known, locate queries some of the known
// gateways.
func (f *plannerFinder) locate(ctx context.Context) (string, bool) {
	f.mu.Lock()
	address := f.address
	f.mu.Unlock()
	if address != "" {
		return address, true
	}
	f.readRegistry()
	return f.queryGateways(ctx, f.chooseGateways(now()))
}

// chooseGateways returns the gateways to query next. They stay the same while one of them answers,
// so that a search does not open connections to all known gateways, and for maxChoiceAge at most.
// Otherwise successive calls rotate through the list.
func (f *plannerFinder) chooseGateways(at time.Duration) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.chosen) == 0 || f.answeredAt < f.chosenAt || at-f.chosenAt > maxChoiceAge {
		f.chosen, f.chosenAt = f.rotation.Next(f.gateways, maxQueried), at
	}
	return f.chosen
}

// queryGateways queries gateways concurrently and returns the first planner that is accepted.
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

// awaitNewerPlanner waits until the current planner is slow to answer, and then queries the
// gateways until one names a newer planner. It returns false if ctx ends first.
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
		f.queryGateways(ctx, f.chooseGateways(now()))
		f.mu.Lock()
		newer := f.epoch > epoch
		f.mu.Unlock()
		if newer {
			return true
		}
	}
}

func (f *plannerFinder) queryGateway(ctx context.Context, address string) *link.PeerReply {
	raw, err := f.pool.Call(ctx, address, &link.PeerQuery{})
	if err != nil {
		return nil
	}
	f.mu.Lock()
	f.answeredAt = now()
	f.mu.Unlock()
	reply, _ := raw.(*link.PeerReply)
	return reply
}

// accept takes the planner named in a reply, unless it is older than the last one or has just
// failed. It reports whether it did.
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
	f.log.WithField("planner", address).WithField("cause", err).Info("planner unreachable")
	f.address = ""
	f.lastFailed, f.lastFailedAt = plannerID{address, f.epoch}, now()
	if f.lostSince == 0 {
		f.lostSince = now()
	}
}

// redirect follows a gateway that is not the planner to the one that it names.
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

// rejectEpoch forgets a planner that answered under an outdated epoch, and rejects planners up
// to that epoch.
func (f *plannerFinder) rejectEpoch(epoch uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.address = ""
	f.epoch = max(f.epoch, epoch+1)
}

// addGateways adds gateways to the list and drops the oldest ones beyond maxGateways.
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

// readRegistry reads the gateway registry if necessary.
func (f *plannerFinder) readRegistry() {
	if f.cfg.ListGateways == nil || !f.claimRegistryRead(now()) {
		return
	}
	f.counters.RegistryReads.Add(1)
	gateways, err := f.cfg.ListGateways()
	if err != nil {
		f.log.WithError(err).Info("failed to read gateway registry")
		return
	}
	f.addGateways(gateways)
}

// claimRegistryRead reports whether the registry is to be read now, and records that it is. That
// is if no known gateway has answered for a while, since all of them may have been replaced. While
// gateways answer but know no planner, the registry would not help, and all agents would read it
// at once; it is then read only after registryFallbackDelay, in case these gateways are cut off.
func (f *plannerFinder) claimRegistryRead(at time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostSince == 0 {
		f.lostSince = at
	}
	delay := registryReadDelay
	if at-f.answeredAt < registryReadDelay {
		delay = registryFallbackDelay
	}
	if at-f.lostSince <= delay || at-f.registryReadAt <= delay {
		return false
	}
	f.registryReadAt = at
	return true
}
