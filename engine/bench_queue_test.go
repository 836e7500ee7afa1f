package engine

import (
	"testing"
	"time"
)

// BenchmarkQueueOrder measures ranking and sorting 1,000 waiting units beside 300 running ones: all
// in time, all late but of use, and all useless.
func BenchmarkQueueOrder(b *testing.B) {
	for _, bm := range []struct {
		name string
		age  time.Duration
	}{{"in_time", 0}, {"late", 10 * time.Second}, {"useless", time.Minute}} {
		b.Run(bm.name, func(b *testing.B) {
			e, now := busyFleet(b, 300, 1002)
			protected := e.protected()
			b.ReportAllocs()
			for b.Loop() {
				e.queue(now+bm.age, protected)
			}
		})
	}
}
