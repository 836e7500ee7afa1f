package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
)

// LabeledSums is sums of amounts by label. It is safe for concurrent use; the zero value is empty.
type LabeledSums struct {
	mu     sync.Mutex
	labels map[string]float64
}

// Add adds an amount under a label. Labels beyond mostLabels share Other.
func (s *LabeledSums) Add(label string, amount float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.labels == nil {
		s.labels = map[string]float64{}
	}
	s.labels[boundedLabel(s.labels, label)] += amount
}

// WriteText writes one line for each label.
func (s *LabeledSums) WriteText(w io.Writer, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, label := range slices.Sorted(maps.Keys(s.labels)) {
		// A reader that is gone needs no further lines.
		_, _ = fmt.Fprintf(w, "%s{label=%s} %g\n", name, quoteLabel(label), s.labels[label])
	}
}
