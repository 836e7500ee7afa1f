package gateway

import (
	"sync"
	"time"
)

// During an outage of the store for all gateways the planner's lease lapses, and nobody
// can take over. Were nothing granted any more, every run would lapse with its worker's
// lease some seconds later, and hours of work with it. So the planner whose lease has
// lapsed goes on granting, and does nothing else, while every other gateway says that the
// store does not serve it either. It stops as soon as one is served again, or does not
// answer, or knows a newer planner; and after extendMost in any case.
//
// A successor has to know how long that may have gone on, for workers that it can't
// reach. It was among those asked if it was in touch with the planner; if the store has
// served it all the while, it has said so, and nothing was extended. Otherwise it counts
// extendMost more.
const (
	// maxGrantExtension bounds how long a planner grants after its lease has lapsed. With the
	// lease and the workers' own it lets work survive outages of over twelve seconds.
	maxGrantExtension = 6 * time.Second
	// peerStatusTTL is how old the other gateways' word may be: two rounds of questions.
	peerStatusTTL = 1200 * time.Millisecond
	// storeReplyTTL is how recently the store must have answered to count as serving; its
	// watches return once a second.
	storeReplyTTL = 1600 * time.Millisecond
	// plannerContactTTL is how recently a gateway must have reached the planner to count as one
	// that the planner asks.
	plannerContactTTL = 5 * time.Second
)

// storeStatus is what a gateway knows of the store's service, its own and the others'. It is
// safe for concurrent use. Times are on the boot clock.
type storeStatus struct {
	startedAt time.Duration

	mu                sync.Mutex
	peers             map[string]peerStoreStatus
	lastUnservedAt    time.Duration // when the store last did not serve this gateway
	plannerAnsweredAt time.Duration // when the planner last answered this gateway
}

// peerStoreStatus is one gateway's word on whether the store serves it.
type peerStoreStatus struct {
	at     time.Duration
	served bool
}

func newStoreStatus(now time.Duration) *storeStatus {
	return &storeStatus{startedAt: now, lastUnservedAt: now, peers: map[string]peerStoreStatus{}}
}

// observeSelf notes how long ago the store last answered this gateway.
func (s *storeStatus) observeSelf(now, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if age > storeReplyTTL {
		s.lastUnservedAt = now
	}
}

// observePeer notes another gateway's word.
func (s *storeStatus) observePeer(now time.Duration, address string, served, fromPlanner bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[address] = peerStoreStatus{at: now, served: served}
	if fromPlanner {
		s.plannerAnsweredAt = now
	}
}

// allUnserved says whether the store serves none of the gateways named, by their own fresh
// word.
func (s *storeStatus) allUnserved(now time.Duration, peers []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range peers {
		a, ok := s.peers[address]
		if !ok || a.served || now-a.at > peerStatusTTL {
			return false
		}
	}
	return true
}

// peerUnserved says whether a gateway lately said that the store does not serve it.
func (s *storeStatus) peerUnserved(now time.Duration, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.peers[address]
	return ok && !a.served && now-a.at <= peerStatusTTL
}

// predecessorExtension returns how much longer than usual a predecessor may have granted.
func (s *storeStatus) predecessorExtension(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	inContact := s.plannerAnsweredAt != 0 && now-s.plannerAnsweredAt < plannerContactTTL+maxGrantExtension
	alwaysServed := now-s.lastUnservedAt > maxGrantExtension+2*plannerLeaseTTL
	if inContact && alwaysServed && now-s.startedAt > memberTTL {
		return 0
	}
	return maxGrantExtension
}
