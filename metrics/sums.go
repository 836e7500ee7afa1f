package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
)

// Sums is sums of amounts by label. It is safe for concurrent use; the zero value is empty.
type Sums struct {
	mu     sync.Mutex
	labels map[string]float64
}

// Add adds an amount under a label. Labels beyond mostLabels share Other.
func (s *Sums) Add(label string, amount float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.labels == nil {
		s.labels = map[string]float64{}
	}
	if _, ok := s.labels[label]; !ok && len(s.labels) >= mostLabels {
		label = Other
	}
	s.labels[label] += amount
}

// WriteText writes one line for each label.
func (s *Sums) WriteText(w io.Writer, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, label := range slices.Sorted(maps.Keys(s.labels)) {
		fmt.Fprintf(w, "%s{label=%q} %g\n", name, label, s.labels[label])
	}
}
