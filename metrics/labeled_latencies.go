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
	// maxLatency is the upper limit of recorded durations.
	maxLatency = 24 * time.Hour
	// latencySignificantDigits keeps the relative error of a value below 1%.
	latencySignificantDigits = 2
)

// LabeledLatencies holds histograms of durations by label, such as an account and a queue.
// It is safe for concurrent use; the zero value is empty.
type LabeledLatencies struct {
	mu     sync.Mutex
	labels map[string]*hdrhistogram.Histogram
}

// Observe records a duration under a label. Labels beyond maxLabels share OtherLabel.
func (l *LabeledLatencies) Observe(label string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.histogram(label)
	// RecordValue fails only for values beyond the range, which are clamped.
	_ = h.RecordValue(min(max(d.Microseconds(), 0), maxLatency.Microseconds()))
}

// histogram returns the histogram of a label, creating it at first use. The caller holds
// mu.
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

// WriteText writes the count, median, 99th percentile and maximum of each histogram as
// lines NAME{label="...",stat="..."} VALUE, in microseconds.
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
			// A write fails only if the client has disconnected.
			_, _ = fmt.Fprintf(w, "%s{label=%s,stat=\"%s\"} %d\n", name, quoteLabel(label), v.stat, v.value)
		}
	}
}
