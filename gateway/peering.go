package gateway

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/eelgrasshub/eelgrasshub/link"
)

// peering is what a gateway knows of the other gateways and of the planner, and decides which of
// them it queries. It sends nothing itself. It is safe for concurrent use.
//
// Each gateway queries the planner, whose reply has all that it needs. Others are queried only for
// what the planner lacks, and then a fixed number of them, so a gateway's traffic does not depend
// on the size of the fleet. Only a planner that the store does not serve queries all gateways. A
// new planner is announced from gateway to gateway.
type peering struct {
	self  string
	clock func() time.Duration
	// planningEpoch returns the epoch under which this gateway is the active planner, or zero.
	planningEpoch   func() uint64
	members         *members
	planner         *plannerTracker
	storeStatus     *storeStatus
	earlierGrants   earlierGrants
	failureDetector failureDetector
	successors      atomic.Pointer[[]string] // preferred successors while this gateway is the planner
	// onNewPlanner is called for each planner that was not known; it may be nil.
	onNewPlanner func(epoch uint64, planner string)
	// onEarlierGrants is called when another gateway has lowered the bound of earlierGrants; it may be nil.
	onEarlierGrants func(epoch uint64)
}

const (
	// searchFanout is how many peers are queried at once for what the planner can't tell. All
	// gateways may search at the same time, so it does not grow with their number.
	searchFanout = 4
	// announceFanout is how many peers a gateway tells of a new planner. Each passes it on once,
	// so it reaches nearly all in a few steps; the others find it by their own search.
	announceFanout = 6
)

func newPeering(self string, seeds []string, clock func() time.Duration, planningEpoch func() uint64) *peering {
	return &peering{
		self:          self,
		clock:         clock,
		planningEpoch: planningEpoch,
		members:       newMembers(self, seeds, clock),
		planner:       &plannerTracker{},
		storeStatus:   newStoreStatus(clock()),
	}
}

// peersToQuery returns the gateways to query in a round: the planner, and a few others if the
// planner is unknown or no longer active, or if configStale is set. A planner that the store does
// not serve queries all gateways, since it may extend grants only while none of them is served.
func (p *peering) peersToQuery(configStale, storeReachable bool) []string {
	_, planner := p.planner.get()
	if planner == p.self && !storeReachable {
		return appendMissing(p.members.livePeers(), p.members.chooseContacts(searchFanout))
	}
	otherPlans := planner != "" && planner != p.self
	var out []string
	if otherPlans {
		out = append(out, planner)
	}
	if configStale || !otherPlans && p.planningEpoch() == 0 {
		out = appendMissing(out, p.members.chooseContacts(searchFanout))
	}
	return out
}

// handleFailure records that a gateway did not answer. It returns the peers to query in its place
// if it is the planner: its first successor and some contacts.
func (p *peering) handleFailure(address string) []string {
	p.members.markFailed(address)
	if _, planner := p.planner.get(); planner != address {
		return nil
	}
	out := appendMissing(p.failureDetector.firstSuccessor(p.self), p.members.chooseContacts(searchFanout))
	return slices.DeleteFunc(out, func(a string) bool { return a == address })
}

// rankSuccessors updates the successors that the planner names in its replies.
func (p *peering) rankSuccessors() {
	if p.planningEpoch() == 0 {
		return
	}
	ranking := p.members.successors(p.peerServed)
	p.successors.Store(&ranking)
}

// learnPlanner records a planner that is newer than the known one. It returns the peers to which
// to announce it: contacts and, if it is this gateway, the successors that its predecessor named,
// which are the first to depose a planner.
func (p *peering) learnPlanner(epoch uint64, planner string) (announceTo []string) {
	isNew := p.planner.update(epoch, planner)
	// Read after that: replies name the planner from then on, which the bound relies on.
	p.earlierGrants.noteTakeover(p.clock(), epoch, p.storeStatus)
	if !isNew {
		return nil
	}
	if p.onNewPlanner != nil {
		p.onNewPlanner(epoch, planner)
	}
	announceTo = p.members.chooseContacts(announceFanout)
	if planner == p.self {
		announceTo = appendMissing(announceTo, p.failureDetector.namedSuccessors())
	}
	return slices.DeleteFunc(announceTo, func(a string) bool { return a == planner })
}

// mergeQuery merges what a query of another gateway tells of it. It returns the peers to which to
// announce a planner that was not known.
func (p *peering) mergeQuery(msg *link.PeerQuery) (announceTo []string) {
	if msg.Address != "" {
		p.members.markHeard(msg.Address)
		p.members.setCapacity(msg.Address, msg.PlanningCapacity)
		p.storeStatus.observeQuery(p.clock(), msg.Address, !msg.StoreUnreachable)
	}
	announceTo = p.learnPlanner(msg.Epoch, msg.Planner)
	p.mergeEarlierGrants(msg.EarlierGrants)
	return announceTo
}

// mergeReply merges the reply of another gateway to a query sent at the given time. What the reply
// shows is dated back to then, since this process may have been suspended meanwhile. It returns the
// peers to which to announce a planner that was not known.
func (p *peering) mergeReply(address string, reply *link.PeerReply, sent time.Duration) (announceTo []string) {
	p.members.markHeard(address)
	for _, m := range reply.Members {
		if m != address {
			p.members.addHint(m)
		}
	}
	announceTo = p.learnPlanner(reply.Epoch, reply.Planner)
	p.mergeEarlierGrants(reply.EarlierGrants)
	if epoch, _ := p.planner.get(); reply.Successors != nil && reply.Epoch >= epoch {
		p.failureDetector.setSuccessors(reply.Successors)
	}
	p.storeStatus.observePeer(sent, address, reply.StoreReachable, p.clock()-reply.ProcessAge)
	if reply.Planner == address {
		p.storeStatus.observePlanner(sent, reply.Epoch)
		p.failureDetector.recordPeerReply(p.clock(), address, reply.PlanningEpoch)
	}
	return announceTo
}

// mergeEarlierGrants merges what another gateway tells of the grants of earlier planners.
func (p *peering) mergeEarlierGrants(told *link.EarlierGrants) {
	if p.earlierGrants.hear(p.clock(), told) && p.onEarlierGrants != nil {
		p.onEarlierGrants(told.Epoch)
	}
}

// reply returns a reply with what is known of the planner and of some gateways.
func (p *peering) reply(storeReachable bool) *link.PeerReply {
	epoch, planner := p.planner.get()
	reply := &link.PeerReply{
		Epoch:          epoch,
		Planner:        planner,
		PlanningEpoch:  p.planningEpoch(),
		Members:        p.members.sample(),
		StoreReachable: storeReachable,
		ProcessAge:     p.clock() - p.storeStatus.startedAt,
		EarlierGrants:  p.earlierGrants.tell(p.clock(), epoch),
	}
	if ranking := p.successors.Load(); ranking != nil && planner == p.self {
		reply.Successors = *ranking
	}
	return reply
}

// peerServed reports whether a gateway has not recently reported that the store does not serve
// it.
func (p *peering) peerServed(address string) bool {
	return !p.storeStatus.peerUnserved(p.clock(), address)
}

// relayCandidates returns the peers to relay calls through, the planner first. It omits peers
// that recently reported that the store does not serve them: such a call would only be refused
// later, or time out and leave the outcome unknown.
func (p *peering) relayCandidates() []string {
	var out []string
	_, planner := p.planner.get()
	if planner != "" && planner != p.self && p.peerServed(planner) {
		out = append(out, planner)
	}
	return appendMissing(out, p.members.choose(maxRelayCandidates, p.peerServed))
}

// forgetSilent forgets the gateways that have not been heard of for long, and returns them.
func (p *peering) forgetSilent() []string {
	gone := p.members.forgetSilent()
	p.storeStatus.forget(gone)
	return gone
}

func appendMissing(list, more []string) []string {
	for _, address := range more {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}
