package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
)

// labeledValues holds numbers by label. It is safe for concurrent use; the zero value is empty.
type labeledValues struct {
	mu     sync.Mutex
	values map[string]float64
}

// update calls f with the values, which are not nil.
func (v *labeledValues) update(f func(values map[string]float64)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.values == nil {
		v.values = map[string]float64{}
	}
	f(v.values)
}

// WriteText writes each value as a line NAME{label="..."} VALUE.
func (v *labeledValues) WriteText(w io.Writer, name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, label := range slices.Sorted(maps.Keys(v.values)) {
		// A write fails only if the client has disconnected.
		_, _ = fmt.Fprintf(w, "%s{label=%s} %g\n", name, quoteLabel(label), v.values[label])
	}
}
