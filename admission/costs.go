package admission

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// costWeight is the weight of the newest service time in an average.
	costWeight = 1.0 / 16
	// initialCost is assumed until the first request has finished.
	initialCost = 5 * time.Millisecond
)

// costKey is what service times are learned by.
type costKey struct{ account, class string }

// costs learns the slot time of requests. Declared costs are only a first
// guess: they are often far from the truth.
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
func (c *costs) expect(k costKey, declared time.Duration) time.Duration {
	if d, ok := c.learned.Get(k); ok {
		return d
	}
	if declared > 0 {
		return declared
	}
	return c.mean()
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
