package metrics

import (
	"sync"
	"sync/atomic"
	"time"
)

// DefaultMaxPairs bounds the pairs of client account and class of a Set. With
// every timing of every pair in use a Set takes 17 MB; an entry of the sample
// deployments uses a few timings of two dozen pairs.
const DefaultMaxPairs = 48

// OtherLabel is the client account and the class of pairs beyond the bound.
const OtherLabel = "other"

type pair struct {
	account string
	class   string
}

// histograms of one pair; each is made at its first observation.
type histograms [numTimings]atomic.Pointer[histogram]

// Set is the metrics of one role. It is safe for concurrent use.
type Set struct {
	maxPairs int
	counters [numCounters]atomic.Int64
	// pairs is read without a lock on the path of a request and replaced as a
	// whole, under mu, when a pair is new.
	pairs atomic.Pointer[map[pair]*histograms]
	other histograms

	mu     sync.Mutex
	gauges map[string]func() int64
}

// New makes a Set of at most maxPairs pairs; 0 means DefaultMaxPairs.
func New(maxPairs int) *Set {
	if maxPairs <= 0 {
		maxPairs = DefaultMaxPairs
	}
	s := &Set{maxPairs: maxPairs, gauges: map[string]func() int64{}}
	s.pairs.Store(&map[pair]*histograms{})
	return s
}

// Add adds n to the counter.
func (s *Set) Add(c Counter, n int64) {
	s.counters[c].Add(n)
}

// Count returns the counter's value.
func (s *Set) Count(c Counter) int64 {
	return s.counters[c].Load()
}

// Gauge shows the value that f returns under the name. f is called for each
// snapshot, from any goroutine, and must not call the Set.
func (s *Set) Gauge(name string, f func() int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gauges[name] = f
}

// Observe records a duration for a client account and class.
func (s *Set) Observe(account, class string, t Timing, d time.Duration) {
	slot := &s.histogramsFor(pair{account, class})[t]
	h := slot.Load()
	if h == nil {
		slot.CompareAndSwap(nil, newHistogram())
		h = slot.Load()
	}
	h.record(d)
}

func (s *Set) histogramsFor(p pair) *histograms {
	pairs := *s.pairs.Load()
	if h := pairs[p]; h != nil {
		return h
	}
	if len(pairs) < s.maxPairs {
		return s.addPair(p)
	}
	s.Add(PairsOverflowed, 1)
	return &s.other
}

func (s *Set) addPair(p pair) *histograms {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.pairs.Load()
	if h := old[p]; h != nil {
		return h
	}
	if len(old) >= s.maxPairs {
		s.Add(PairsOverflowed, 1)
		return &s.other
	}
	pairs := make(map[pair]*histograms, len(old)+1)
	for k, h := range old {
		pairs[k] = h
	}
	h := &histograms{}
	pairs[p] = h
	s.pairs.Store(&pairs)
	return h
}

// Snapshot returns all values. Each is right by itself; events that happen
// meanwhile may be in some and not in others.
func (s *Set) Snapshot() Snapshot {
	snap := Snapshot{
		Counters: map[string]int64{},
		Gauges:   s.readGauges(),
		Timings:  map[string]map[string]map[string]Summary{},
	}
	for _, c := range Counters() {
		snap.Counters[c.Describe().Name] = s.Count(c)
	}
	for p, h := range *s.pairs.Load() {
		snap.addTimings(p, h)
	}
	snap.addTimings(pair{OtherLabel, OtherLabel}, &s.other)
	return snap
}

func (s *Snapshot) addTimings(p pair, hs *histograms) {
	for _, t := range Timings() {
		if h := hs[t].Load(); h != nil {
			s.addTiming(p, t, h.summary())
		}
	}
}

func (s *Set) readGauges() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := make(map[string]int64, len(s.gauges))
	for name, f := range s.gauges {
		values[name] = f()
	}
	return values
}
