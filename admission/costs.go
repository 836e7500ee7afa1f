package admission

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// costWeight is the weight of the newest service time in an average.
	costWeight = 1.0 / 16
	// doubtWeight is the part by which one refusal lowers an average. By that, a
	// kind that takes twice the time it may is tried once in thirty refusals.
	doubtWeight = 1.0 / 512
	// initialCost is assumed until the first request has finished.
	initialCost = 5 * time.Millisecond
)

// costKey is what service times are learned by.
type costKey struct{ account, class string }

// costs learns the slot time of requests from what they took. Declared costs are
// not asked for: they are often far from the truth.
type costs struct {
	overall time.Duration
	learned *simplelru.LRU[costKey, time.Duration]
}

func newCosts(size int) *costs {
	learned, err := simplelru.NewLRU[costKey, time.Duration](size, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &costs{learned: learned}
}

// expect returns the slot time to expect of a request.
func (c *costs) expect(k costKey) time.Duration {
	if d, ok := c.learned.Get(k); ok {
		return d
	}
	return c.mean()
}

// doubt lowers what is expected of a kind of request after one was refused for
// it. Otherwise a kind that took too long for a while would be refused for ever:
// nothing of it runs, so nothing shows that it has become faster.
func (c *costs) doubt(k costKey) {
	if d, ok := c.learned.Get(k); ok {
		c.learned.Add(k, d-time.Duration(doubtWeight*float64(d)))
	}
}

// mean returns the slot time to expect of any request.
func (c *costs) mean() time.Duration {
	if c.overall == 0 {
		return initialCost
	}
	return c.overall
}

func (c *costs) learn(k costKey, took time.Duration) {
	old, ok := c.learned.Get(k)
	if !ok {
		old = took
	}
	c.learned.Add(k, average(old, took))
	if c.overall == 0 {
		c.overall = took
	}
	c.overall = average(c.overall, took)
}

func average(old, sample time.Duration) time.Duration {
	return old + time.Duration(costWeight*float64(sample-old))
}
