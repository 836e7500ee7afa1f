package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minDuration = time.Microsecond
	maxDuration = 24 * time.Hour
	// significantDigits keeps an observation within 1 percent, at 31 KB a histogram.
	significantDigits = 2
)

// histogram is an HdrHistogram under a lock held for one record.
type histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{h: hdrhistogram.New(1, int64(maxDuration/minDuration), significantDigits)}
}

// record clamps to the range, so that an observation is never lost.
func (h *histogram) record(d time.Duration) {
	us := int64(min(max(d, minDuration), maxDuration) / minDuration)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.h.RecordValue(us); err != nil {
		panic("metrics: value in range was refused: " + err.Error())
	}
}

func (h *histogram) summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.h.ValueAtPercentilesSlice([]float64{50, 90, 99})
	return Summary{Count: h.h.TotalCount(), P50: v[0], P90: v[1], P99: v[2], Max: h.h.Max()}
}
