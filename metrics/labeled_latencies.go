package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest time that is told apart, a day.
	maxLatency = 24 * time.Hour
	// latencySignificantDigits keeps values to 1%.
	latencySignificantDigits = 2
)

// LabeledLatencies is histograms of times by label, such as an account and a queue. It is safe
// for concurrent use; the zero value is empty.
type LabeledLatencies struct {
	mu     sync.Mutex
	labels map[string]*hdrhistogram.Histogram
}

// Observe counts one time under a label.
func (l *LabeledLatencies) Observe(label string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.histogram(label)
	// RecordValue fails only beyond the histogram's range, which min excludes.
	_ = h.RecordValue(min(max(d.Microseconds(), 0), maxLatency.Microseconds()))
}

func (l *LabeledLatencies) histogram(label string) *hdrhistogram.Histogram {
	if l.labels == nil {
		l.labels = map[string]*hdrhistogram.Histogram{}
	}
	label = boundedLabel(l.labels, label)
	h, ok := l.labels[label]
	if !ok {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), latencySignificantDigits)
		l.labels[label] = h
	}
	return h
}

// WriteText writes each histogram's count, median, 99th percentile and maximum as lines
// NAME{label="...",stat="..."} VALUE, in microseconds.
func (l *LabeledLatencies) WriteText(w io.Writer, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, label := range slices.Sorted(maps.Keys(l.labels)) {
		h := l.labels[label]
		for _, v := range []struct {
			stat  string
			value int64
		}{
			{"count", h.TotalCount()},
			{"p50", h.ValueAtQuantile(50)},
			{"p99", h.ValueAtQuantile(99)},
			{"max", h.Max()},
		} {
			// A reader that is gone needs no further lines.
			_, _ = fmt.Fprintf(w, "%s{label=%s,stat=\"%s\"} %d\n", name, quoteLabel(label), v.stat, v.value)
		}
	}
}
