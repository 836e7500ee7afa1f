package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minDuration = time.Microsecond
	maxDuration = 24 * time.Hour
	// significantDigits keeps the relative error of a value below 1%; a histogram then
	// takes 31 KB.
	significantDigits = 2
)

// histogram is an HdrHistogram of microseconds that is safe for concurrent use.
type histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{h: hdrhistogram.New(1, int64(maxDuration/minDuration), significantDigits)}
}

// record adds d, clamped to the range of the histogram.
func (h *histogram) record(d time.Duration) {
	us := int64(min(max(d, minDuration), maxDuration) / minDuration)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.h.RecordValue(us); err != nil {
		panic("metrics: failed to record a value in range: " + err.Error())
	}
}

func (h *histogram) summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.h.ValueAtPercentilesSlice([]float64{50, 90, 99})
	return Summary{Count: h.h.TotalCount(), P50: v[0], P90: v[1], P99: v[2], Max: h.h.Max()}
}
