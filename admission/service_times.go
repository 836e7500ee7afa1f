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
	learned, err := simplelru.NewLRU[serviceTimeKey, time.Duration](size, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &serviceTimes{byKey: learned}
}

// estimate returns the slot time to estimate of a request.
func (c *serviceTimes) estimate(k serviceTimeKey) time.Duration {
	if d, ok := c.byKey.Get(k); ok {
		return d
	}
	return c.mean()
}

// decay lowers what is expected of a kind of request after one was refused for
// it. Otherwise a kind that took too long for a while would be refused for ever:
// nothing of it runs, so nothing shows that it has become faster.
func (c *serviceTimes) decay(k serviceTimeKey) {
	if d, ok := c.byKey.Get(k); ok {
		c.byKey.Add(k, d-time.Duration(refusalDecay*float64(d)))
	}
}

// mean returns the slot time to expect of any request.
func (c *serviceTimes) mean() time.Duration {
	if c.overall == 0 {
		return initialServiceTime
	}
	return c.overall
}

func (c *serviceTimes) record(k serviceTimeKey, took time.Duration) {
	old, ok := c.byKey.Get(k)
	if !ok {
		old = took
	}
	c.byKey.Add(k, movingAverage(old, took))
	if c.overall == 0 {
		c.overall = took
	}
	c.overall = movingAverage(c.overall, took)
}

func movingAverage(old, sample time.Duration) time.Duration {
	return old + time.Duration(sampleWeight*float64(sample-old))
}
