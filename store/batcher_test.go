package store_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

func TestBatcherResults(t *testing.T) {
	c := qt.New(t)
	_, kv := startStore(t, standin.Options{})
	b := store.NewBatcher(kv, 0)
	var wg sync.WaitGroup
	var swapped atomic.Int64
	for i := range 400 {
		wg.Go(func() {
			// Two callers compete for each key.
			key, value := fmt.Sprint(i/2), fmt.Appendf(nil, "caller %d", i)
			res, err := b.Swap(context.Background(), store.Swap{Key: key, Value: value})
			c.Check(err, qt.IsNil)
			c.Check(res.Unknown, qt.IsFalse)
			c.Check(string(res.Current.Value) == string(value), qt.Equals, res.Swapped)
			if res.Swapped {
				swapped.Add(1)
			}
		})
	}
	wg.Wait()
	c.Assert(swapped.Load(), qt.Equals, int64(200))
	b.Close()
	_, err := b.Swap(context.Background(), store.Swap{Key: "k"})
	c.Assert(eris.Is(err, store.ErrClosed), qt.IsTrue)
}

// Swaps in one call with a swap whose lease has expired must not fail with it.
func TestBatcherIsolatesMissingLease(t *testing.T) {
	c := qt.New(t)
	srv, kv := startStore(t, standin.Options{})
	srv.SetFaults(standin.Faults{DelayMillis: 50})
	b := store.NewBatcher(kv, 0)
	defer b.Close()
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			s := store.Swap{Key: fmt.Sprint(i), Value: []byte("v")}
			if i%5 == 0 {
				s.Lease = 77
			}
			res, err := b.Swap(context.Background(), s)
			c.Check(eris.Is(err, store.ErrLeaseNotFound), qt.Equals, s.Lease != 0)
			c.Check(res.Swapped, qt.Equals, s.Lease == 0)
		})
	}
	wg.Wait()
}

// While the store hangs, swaps beyond the queue fail at once, a canceled swap in the
// queue is reported as not made, and one in flight as unknown.
func TestBatcherWithHangingStore(t *testing.T) {
	c := qt.New(t)
	srv, kv := startStore(t, standin.Options{})
	srv.SetFaults(standin.Faults{Down: standin.DownHang})
	b := store.NewBatcher(kv, 1)
	ctx, cancel := context.WithCancel(context.Background())
	type swapEnd struct {
		Res store.SwapResult
		Err error
	}
	outcomes := make(chan swapEnd, 3)
	swap := func() {
		res, err := b.Swap(ctx, store.Swap{Key: "k", Value: []byte("v")})
		outcomes <- swapEnd{res, err}
	}
	go swap()
	for srv.Counters().Txn == 0 {
		time.Sleep(time.Millisecond)
	}
	go swap()
	go swap()
	c.Assert(eris.Is((<-outcomes).Err, store.ErrQueueFull), qt.IsTrue)
	cancel()
	canceled, inFlight := <-outcomes, <-outcomes
	if canceled.Err == nil {
		canceled, inFlight = inFlight, canceled
	}
	c.Assert(eris.Is(canceled.Err, store.ErrCanceled), qt.IsTrue)
	c.Assert(inFlight, qt.DeepEquals, swapEnd{Res: store.SwapResult{Unknown: true}})
	srv.SetFaults(standin.Faults{})
	srv.Close() // ends the hanging call
	b.Close()
}

func BenchmarkGet(b *testing.B) {
	_, kv := startStore(b, standin.Options{})
	for b.Loop() {
		if _, _, err := kv.Get(context.Background(), "k"); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCommit(b *testing.B) {
	_, kv := startStore(b, standin.Options{})
	value := make([]byte, 512)
	for i := 0; b.Loop(); i++ {
		swaps := []store.Swap{{Key: fmt.Sprint(i), Value: value}}
		if _, err := kv.Commit(context.Background(), swaps); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkBatcher(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			srv, kv := startStore(b, standin.Options{})
			batcher := store.NewBatcher(kv, 0)
			defer batcher.Close()
			var next atomic.Int64
			var wg sync.WaitGroup
			value := make([]byte, 512)
			b.ResetTimer()
			for range callers {
				wg.Go(func() {
					for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
						s := store.Swap{Key: fmt.Sprint(n), Value: value}
						if _, err := batcher.Swap(context.Background(), s); err != nil {
							b.Error(err)
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(srv.Counters().Txn)/float64(b.N), "calls/swap")
		})
	}
}
