package gateway

import (
	"sync"
	"time"
)

// During a store outage for all gateways, a planner whose lease has expired continues to grant
// worker leases, so that the runs survive, and does nothing else. It stops as soon as another
// live gateway reports that the store serves it, does not answer or knows a newer planner, and
// after maxGrantExtension at the latest. A successor that cannot rule out such an extension of
// its predecessor's grants assumes maxGrantExtension.
const (
	// maxGrantExtension bounds how long a planner grants worker leases after its own lease has
	// expired. Together with both lease times it covers outages of more than twelve seconds.
	maxGrantExtension = 6 * time.Second
	// peerStatusTTL is the maximum age of a peer's reported store status: two query rounds.
	peerStatusTTL = 1200 * time.Millisecond
	// storeReplyTTL is how recently the store must have answered to count as available; its
	// watches return once a second.
	storeReplyTTL = 1600 * time.Millisecond
	// plannerContactTTL is how long after a query that the planner answered a gateway knows that
	// the planner counts it as live when its lease expires, which may be plannerLeaseTTL later.
	plannerContactTTL = memberTTL - plannerLeaseTTL - plannerContactMargin
	// plannerContactMargin covers the drift between the clocks of both.
	plannerContactMargin = time.Second
)

// storeStatus tracks whether the store serves this gateway and its peers. It is safe for
// concurrent use. Times are on the boot clock.
type storeStatus struct {
	startedAt time.Duration

	mu sync.Mutex
	// replies are the peers' replies to queries of this gateway, and queries what peers told in
	// theirs. A query may have waited for long while this process was suspended, so only a reply
	// shows that a peer is not served.
	replies           map[string]peerStoreStatus
	queries           map[string]peerStoreStatus
	lastUnservedAt    time.Duration // when the store last did not serve this gateway
	plannerAnsweredAt time.Duration // when the last query that a planner answered was sent
	plannerEpoch      uint64        // of that planner
}

// peerStoreStatus is a peer's report on whether the store serves it.
type peerStoreStatus struct {
	at     time.Duration
	served bool
	// startedBy is by when the replying process had started; it is not set for queries.
	startedBy time.Duration
}

func newStoreStatus(now time.Duration) *storeStatus {
	return &storeStatus{startedAt: now, lastUnservedAt: now, replies: map[string]peerStoreStatus{}, queries: map[string]peerStoreStatus{}}
}

// observeSelf records the time since the store last answered this gateway.
func (s *storeStatus) observeSelf(now, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if age > storeReplyTTL {
		s.lastUnservedAt = now
	}
}

// observePeer records a peer's reply to a query sent at the given time, unless a later query has
// been answered. The peer's process had started by startedBy.
func (s *storeStatus) observePeer(sent time.Duration, address string, served bool, startedBy time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sent >= s.replies[address].at {
		s.replies[address] = peerStoreStatus{at: sent, served: served, startedBy: startedBy}
	}
}

// observeQuery records what a peer told in a query.
func (s *storeStatus) observeQuery(now time.Duration, address string, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queries[address] = peerStoreStatus{at: now, served: served}
}

// observePlanner records that the planner with the given epoch answered a query sent at the given
// time, and so knew then or later that this gateway is live.
func (s *storeStatus) observePlanner(sent time.Duration, epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case epoch > s.plannerEpoch:
		s.plannerAnsweredAt, s.plannerEpoch = sent, epoch
	case epoch == s.plannerEpoch:
		s.plannerAnsweredAt = max(s.plannerAnsweredAt, sent)
	}
}

// forget removes the reports of gateways that are gone.
func (s *storeStatus) forget(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range addresses {
		delete(s.replies, address)
		delete(s.queries, address)
	}
}

// allUnserved reports whether each of the given peers has recently replied that the store does not
// serve it, and has not told otherwise since.
func (s *storeStatus) allUnserved(now time.Duration, peers []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range peers {
		reply, query := s.replies[address], s.queries[address]
		if reply.at == 0 || reply.served || now-reply.at > peerStatusTTL || query.served && query.at >= reply.at {
			return false
		}
	}
	return true
}

// startedBy returns by when the process of a peer had started, as of its last reply.
func (s *storeStatus) startedBy(address string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replies[address].startedBy
}

// peerUnserved reports whether a peer has recently told that the store does not serve it.
func (s *storeStatus) peerUnserved(now time.Duration, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.replies[address]
	if query := s.queries[address]; query.at > last.at {
		last = query
	}
	return last.at != 0 && !last.served && now-last.at <= peerStatusTTL
}

// predecessorExtension returns how long the predecessor with the given epoch may have granted
// worker leases after its own lease expired. That is zero if this gateway was in contact with that
// very planner and the store served this gateway all the time: the planner would have learned this
// and ended the extension. Contact with an earlier planner proves nothing: the last one may not
// know of this gateway yet.
func (s *storeStatus) predecessorExtension(now time.Duration, predecessor uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	inContact := s.plannerEpoch == predecessor && s.plannerAnsweredAt != 0 && now-s.plannerAnsweredAt < plannerContactTTL
	alwaysServed := now-s.lastUnservedAt > maxGrantExtension+2*plannerLeaseTTL
	if inContact && alwaysServed && now-s.startedAt > memberTTL {
		return 0
	}
	return maxGrantExtension
}
