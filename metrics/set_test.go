package metrics

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestPercentiles(t *testing.T) {
	c := qt.New(t)
	s := New(0)
	for i := 1; i <= 100; i++ {
		s.Observe("packhouses", "booking", QuickDone, time.Duration(i)*time.Millisecond)
	}
	s.Observe("growers", "booking", QuickDone, -time.Second)
	s.Observe("growers", "booking", QuickDone, 48*time.Hour)
	w := httptest.NewRecorder()
	s.Handler("entry").ServeHTTP(w, httptest.NewRequest("GET", "/debug/vars", nil))
	var vars struct{ Entry Snapshot }
	c.Assert(json.Unmarshal(w.Body.Bytes(), &vars), qt.IsNil)
	sum := vars.Entry.Timings["packhouses"]["booking"]["quick_done"]
	c.Check(sum.Count, qt.Equals, int64(100))
	for got, want := range map[int64]int64{sum.P50: 50_000, sum.P90: 90_000, sum.P99: 99_000} {
		c.Check(got >= want && got <= want*101/100, qt.IsTrue, qt.Commentf("got %d, want about %d", got, want))
	}
	c.Check(vars.Entry.Timings["growers"]["booking"]["quick_done"].Count, qt.Equals, int64(2))
}

func TestPairsAreBounded(t *testing.T) {
	// Callers may send arbitrary class names, which must not exhaust the memory; pairs
	// beyond the maximum are recorded together.
	c := qt.New(t)
	s := New(4)
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 100 {
				s.Observe(fmt.Sprint("a", (i+g)%10), "c", QuickDone, time.Millisecond)
				s.Add(RequestsRetried, 1)
			}
		})
	}
	wg.Wait()
	snap := s.Snapshot()
	c.Check(len(snap.Timings), qt.Equals, 5)
	var total int64
	for _, classes := range snap.Timings {
		for _, byName := range classes {
			total += byName["quick_done"].Count
		}
	}
	c.Check(total, qt.Equals, int64(400))
	c.Check(snap.Timings[OtherLabel][OtherLabel]["quick_done"].Count, qt.Equals, snap.Counters["pairs_overflowed"])
	c.Check(snap.Counters["requests_retried"], qt.Equals, int64(400))
}

func TestPublishRefusesDuplicateName(t *testing.T) {
	s := New(0)
	s.Gauge("queued", func() int64 { return 7 })
	name := fmt.Sprintf("entry/%p", s) // unique also if the test runs repeatedly
	qt.Assert(t, s.Publish(name), qt.IsNil)
	qt.Check(t, errors.Is(New(0).Publish(name), ErrAlreadyPublished), qt.IsTrue)
	qt.Check(t, s.Snapshot().Gauges["queued"], qt.Equals, int64(7))
}

func TestEveryMetricIsDescribed(t *testing.T) {
	seen := map[string]bool{}
	check := func(d Description) {
		qt.Check(t, d.Name != "" && d.Unit != "" && d.Help != "", qt.IsTrue, qt.Commentf("%+v", d))
		qt.Check(t, seen[d.Name], qt.IsFalse, qt.Commentf("duplicate name %s", d.Name))
		seen[d.Name] = true
	}
	for _, c := range Counters() {
		check(c.Describe())
	}
	for _, m := range Timings() {
		check(m.Describe())
	}
}

func TestHistogramSize(t *testing.T) {
	size := newHistogram().h.ByteSize()
	qt.Check(t, size < 32<<10, qt.IsTrue, qt.Commentf("%d bytes", size))
}

func BenchmarkObserve(b *testing.B) {
	s := New(0)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s.Observe("a", "c", QuickDone, time.Millisecond)
		}
	})
}
