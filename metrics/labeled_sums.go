package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
)

// LabeledSums holds sums of amounts by label. It is safe for concurrent use; the zero
// value is empty.
type LabeledSums struct {
	mu     sync.Mutex
	labels map[string]float64
}

// Add adds amount to the sum of label. Labels beyond maxLabels share OtherLabel.
func (s *LabeledSums) Add(label string, amount float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.labels == nil {
		s.labels = map[string]float64{}
	}
	s.labels[boundedLabel(s.labels, label)] += amount
}

// WriteText writes each sum as a line NAME{label="..."} VALUE.
func (s *LabeledSums) WriteText(w io.Writer, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, label := range slices.Sorted(maps.Keys(s.labels)) {
		// A write fails only if the client has disconnected.
		_, _ = fmt.Fprintf(w, "%s{label=%s} %g\n", name, quoteLabel(label), s.labels[label])
	}
}
