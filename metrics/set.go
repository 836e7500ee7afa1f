package metrics

import (
	"sync"
	"sync/atomic"
	"time"
)

// DefaultMaxPairs is the default maximum number of pairs of client account and class. A
// Set with every timing of every pair in use takes 17 MB.
const DefaultMaxPairs = 48

// OtherLabel is the client account and the class of pairs beyond the maximum, and the
// label of values beyond the maximum number of labels.
const OtherLabel = "other"

type pair struct {
	account string
	class   string
}

// histograms holds the histograms of one pair, each created at its first observation.
type histograms [numTimings]atomic.Pointer[histogram]

// Set holds the metrics of one role. It is safe for concurrent use.
type Set struct {
	maxPairs int
	counters [numCounters]atomic.Int64
	// pairs is read without a lock, since requests use it, and is copied and replaced
	// under mu to add a pair.
	pairs atomic.Pointer[map[pair]*histograms]
	other histograms

	mu     sync.Mutex
	gauges map[string]func() int64
}

// New returns a Set of at most maxPairs pairs; 0 means DefaultMaxPairs.
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

// Count returns the value of the counter.
func (s *Set) Count(c Counter) int64 {
	return s.counters[c].Load()
}

// Gauge registers a gauge. f returns its value; it is called for each snapshot, on any
// goroutine, and must not call methods of the Set.
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

// histogramsFor returns the histograms of a pair, or the shared ones if there are too many
// pairs.
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

// Snapshot returns all values. It is not atomic: events that happen during the call may be
// included in some values only.
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
