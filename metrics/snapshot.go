package metrics

// Snapshot is the state of a Set at one time, in its JSON form.
type Snapshot struct {
	Counters map[string]int64 `json:"counters"`
	Gauges   map[string]int64 `json:"gauges"`
	// Timings is indexed by client account, class and name of the timing.
	Timings map[string]map[string]map[string]Summary `json:"timings"`
}

// Summary summarizes a histogram. All fields except Count are in microseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

func (s *Snapshot) addTiming(p pair, t Timing, sum Summary) {
	classes := s.Timings[p.account]
	if classes == nil {
		classes = map[string]map[string]Summary{}
		s.Timings[p.account] = classes
	}
	byName := classes[p.class]
	if byName == nil {
		byName = map[string]Summary{}
		classes[p.class] = byName
	}
	byName[t.Describe().Name] = sum
}
