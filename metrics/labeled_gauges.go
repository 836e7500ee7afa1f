package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
)

// LabeledGauges holds current values by label. It is safe for concurrent use; the zero value is
// empty.
type LabeledGauges struct {
	mu     sync.Mutex
	labels map[string]float64
}

// Set sets the value of label. New labels beyond maxLabels are ignored.
func (g *LabeledGauges) Set(label string, value float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.labels == nil {
		g.labels = map[string]float64{}
	}
	if boundedLabel(g.labels, label) == label {
		g.labels[label] = value
	}
}

// Remove removes a label.
func (g *LabeledGauges) Remove(label string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.labels, label)
}

// Clear removes all labels.
func (g *LabeledGauges) Clear() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.labels)
}

// WriteText writes each value as a line NAME{label="..."} VALUE.
func (g *LabeledGauges) WriteText(w io.Writer, name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, label := range slices.Sorted(maps.Keys(g.labels)) {
		// A write fails only if the client has disconnected.
		_, _ = fmt.Fprintf(w, "%s{label=%s} %g\n", name, quoteLabel(label), g.labels[label])
	}
}
