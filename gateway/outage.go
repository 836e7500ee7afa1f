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
	// extendMost bounds how long a planner grants after its lease has lapsed. With the
	// lease and the workers' own it lets work survive outages of over twelve seconds.
	extendMost = 6 * time.Second
	// answerFresh is how old the other gateways' word may be: two rounds of questions.
	answerFresh = 1200 * time.Millisecond
	// servedFresh is how recently the store must have answered to count as serving; its
	// watches return once a second.
	servedFresh = 1600 * time.Millisecond
	// touchFresh is how recently a gateway must have reached the planner to count as one
	// that the planner asks.
	touchFresh = 5 * time.Second
)

// outage is what a gateway knows of the store's service, its own and the others'. It is
// safe for concurrent use. Times are on the boot clock.
type outage struct {
	began time.Duration

	mu       sync.Mutex
	answers  map[string]storeAnswer
	gapAt    time.Duration // when the store last did not serve this gateway
	plannerA time.Duration // when the planner last answered this gateway
}

// storeAnswer is one gateway's word on whether the store serves it.
type storeAnswer struct {
	at     time.Duration
	served bool
}

func newOutage(now time.Duration) *outage {
	return &outage{began: now, gapAt: now, answers: map[string]storeAnswer{}}
}

// sample notes how long ago the store last answered this gateway.
func (o *outage) sample(now, age time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if age > servedFresh {
		o.gapAt = now
	}
}

// heard notes another gateway's word.
func (o *outage) heard(now time.Duration, address string, served, planner bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answers[address] = storeAnswer{at: now, served: served}
	if planner {
		o.plannerA = now
	}
}

// general says whether the store serves none of the gateways named, by their own fresh
// word.
func (o *outage) general(now time.Duration, others []string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, address := range others {
		a, ok := o.answers[address]
		if !ok || a.served || now-a.at > answerFresh {
			return false
		}
	}
	return true
}

// unserved says whether a gateway lately said that the store does not serve it.
func (o *outage) unserved(now time.Duration, address string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	a, ok := o.answers[address]
	return ok && !a.served && now-a.at <= answerFresh
}

// inherited returns how much longer than usual a predecessor may have granted.
func (o *outage) inherited(now time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	asked := o.plannerA != 0 && now-o.plannerA < touchFresh+extendMost
	served := now-o.gapAt > extendMost+2*dutyTTL
	if asked && served && now-o.began > memberFor {
		return 0
	}
	return extendMost
}
