package admission

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// sampleWeight is the weight of the newest service time in an average.
	sampleWeight = 1.0 / 16
	// refusalDecay is the fraction by which one refusal lowers an average. With it,
	// requests that take twice the time they are allowed are tried about once in
	// thirty refusals.
	refusalDecay = 1.0 / 512
	// initialServiceTime is the estimate until the first request has finished.
	initialServiceTime = 5 * time.Millisecond
)

// serviceTimeKey identifies the requests that share an average service time.
type serviceTimeKey struct{ account, class string }

// serviceTimes estimates the slot time of requests from the slot times observed.
// Clients do not declare costs, as such declarations are often wrong.
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

// estimate returns the expected slot time of a request.
func (s *serviceTimes) estimate(k serviceTimeKey) time.Duration {
	if d, ok := s.byKey.Get(k); ok {
		return d
	}
	return s.mean()
}

// decay lowers the estimate for requests like one that was refused because of it.
// Otherwise requests that were too slow for a while would be refused for ever:
// none of them runs, so that no faster time is ever observed.
func (s *serviceTimes) decay(k serviceTimeKey) {
	if d, ok := s.byKey.Get(k); ok {
		s.byKey.Add(k, d-time.Duration(refusalDecay*float64(d)))
	}
}

// mean returns the average slot time of all requests.
func (s *serviceTimes) mean() time.Duration {
	if s.overall == 0 {
		return initialServiceTime
	}
	return s.overall
}

// record adds an observed slot time to the averages.
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
