package admission

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// sampleWeight is the weight of the newest service time in an average.
	sampleWeight = 1.0 / 16
	// refusalDecay is the part by which one refusal lowers an average. By that, a
	// kind that takes twice the time it may is tried once in thirty refusals.
	refusalDecay = 1.0 / 512
	// initialServiceTime is assumed until the first request has finished.
	initialServiceTime = 5 * time.Millisecond
)

// serviceTimeKey is what service times are learned by.
type serviceTimeKey struct{ account, class string }

// serviceTimes learns the slot time of requests from what they took. Declared serviceTimes are
// not asked for: they are often far from the truth.
type serviceTimes struct {
	overall time.Duration
	byKey   *simplelru.LRU[serviceTimeKey, time.Duration]
}

func newServiceTimes(size int) *serviceTimes {
	byKey, err := simplelru.NewLRU[serviceTimeKey, time.Duration](size, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &serviceTimes{byKey: byKey}
}

// estimate returns the slot time to estimate of a request.
func (s *serviceTimes) estimate(k serviceTimeKey) time.Duration {
	if d, ok := s.byKey.Get(k); ok {
		return d
	}
	return s.mean()
}

// decay lowers what is expected of a kind of request after one was refused for
// it. Otherwise a kind that took too long for a while would be refused for ever:
// nothing of it runs, so nothing shows that it has become faster.
func (s *serviceTimes) decay(k serviceTimeKey) {
	if d, ok := s.byKey.Get(k); ok {
		s.byKey.Add(k, d-time.Duration(refusalDecay*float64(d)))
	}
}

// mean returns the slot time to expect of any request.
func (s *serviceTimes) mean() time.Duration {
	if s.overall == 0 {
		return initialServiceTime
	}
	return s.overall
}

func (s *serviceTimes) record(k serviceTimeKey, slotTime time.Duration) {
	average, ok := s.byKey.Get(k)
	if !ok {
		average = slotTime
	}
	s.byKey.Add(k, movingAverage(average, slotTime))
	if s.overall == 0 {
		s.overall = slotTime
	}
	s.overall = movingAverage(s.overall, slotTime)
}

func movingAverage(average, sample time.Duration) time.Duration {
	return average + time.Duration(sampleWeight*float64(sample-average))
}
