package store_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

func serveStandin(t testing.TB, srv *standin.Server) string {
	httpServer := httptest.NewServer(srv)
	t.Cleanup(func() {
		srv.Close()
		httpServer.Close()
	})
	return httpServer.URL
}

func shortWatchIdle(o *store.Options) { o.WatchIdleTimeout = 100 * time.Millisecond }

var frequentProgress = standin.Options{ProgressInterval: 20 * time.Millisecond}

// collectEvents watches from the first revision until the key prefix+"end" is written,
// and returns the events.
func collectEvents(c *qt.C, kv store.Store, prefix string) []store.Event {
	ctx, cancel := context.WithTimeout(context.Background(), generousTimeout)
	defer cancel()
	var events []store.Event
	err := kv.Watch(ctx, prefix, 1, func(b store.WatchBatch) {
		events = append(events, b.Events...)
		for _, e := range b.Events {
			if e.Key == prefix+"end" {
				cancel()
			}
		}
	})
	c.Check(eris.Is(err, context.Canceled), qt.IsTrue)
	return events
}

// With cut or unresponsive connections and lost calls, a watch must deliver every change
// exactly once, and the results of concurrent swaps must be correct.
func TestWatchAndSwapsUnderFaults(t *testing.T) {
	const seed, writers, writes = 1, 4, 150
	c := qt.New(t)
	srv, kv := startStore(t, frequentProgress, shortWatchIdle)
	var watching, writing sync.WaitGroup
	var live []store.Event
	watching.Go(func() { live = collectEvents(c, kv, "k/") })
	results := make(map[string]store.SwapResult)
	var mu sync.Mutex
	for n := range writers {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		writing.Go(func() {
			for i := range writes {
				injectRandomFault(srv, rng)
				value := fmt.Sprintf("%d/%d", n, i)
				res := randomSwap(c, kv, rng, value)
				mu.Lock()
				results[value] = res
				mu.Unlock()
			}
		})
	}
	writing.Wait()
	srv.SetFaults(standin.Faults{CutWatches: true})
	swapOne(c, kv, store.Swap{Key: "k/end", Value: []byte("end")})
	watching.Wait()

	replayed := collectEvents(c, kv, "k/")
	c.Assert(live, qt.DeepEquals, replayed)
	writesByValue := make(map[string]int)
	for _, e := range replayed {
		writesByValue[string(e.Value)]++
	}
	var swapped, conflicts, unknown int
	for value, res := range results {
		switch {
		case res.Swapped:
			swapped++
			c.Check(writesByValue[value], qt.Equals, 1, qt.Commentf("value %s is reported as written", value))
		case res.Unknown:
			unknown++
			c.Check(writesByValue[value] <= 1, qt.IsTrue)
		default:
			conflicts++
			c.Check(writesByValue[value], qt.Equals, 0, qt.Commentf("value %s is reported as not written", value))
		}
	}
	t.Logf("seed %d: %d swapped, %d conflicts, %d unknown, calls %+v", seed, swapped, conflicts, unknown, kv.Calls())
	c.Assert(swapped > 0 && conflicts > 0 && kv.Calls().Lost > 0, qt.IsTrue)
}

func injectRandomFault(srv *standin.Server, rng *rand.Rand) {
	switch n := rng.IntN(80); {
	case n < 10:
		srv.SetFaults(standin.Faults{LoseReplies: 1 + rng.IntN(3)})
	case n < 20:
		srv.SetFaults(standin.Faults{LoseRequests: 1 + rng.IntN(3)})
	case n < 22:
		srv.SetFaults(standin.Faults{CutWatches: true})
	case n < 23:
		srv.SetFaults(standin.Faults{FreezeWatches: true})
	}
}

// randomSwap writes value to one of three keys at the revision last read, sometimes
// after deleting the key.
func randomSwap(c *qt.C, kv store.Store, rng *rand.Rand, value string) store.SwapResult {
	ctx := context.Background()
	key := fmt.Sprintf("k/%d", rng.IntN(3))
	current, _, err := kv.Get(ctx, key)
	c.Check(err, qt.IsNil)
	if rng.IntN(6) == 0 && current.Mod != 0 {
		_, err = kv.Commit(ctx, []store.Swap{{Key: key, Expect: current.Mod, Delete: true}})
		c.Check(err, qt.IsNil)
		current.Mod = 0
	}
	res, err := kv.Commit(ctx, []store.Swap{{Key: key, Expect: current.Mod, Value: []byte(value)}})
	c.Check(err, qt.IsNil)
	if err != nil {
		return store.SwapResult{Unknown: true}
	}
	return res[0]
}

// A watch whose connection stays open without messages must be replaced.
func TestWatchReplacesUnresponsiveConnection(t *testing.T) {
	c := qt.New(t)
	srv, kv := startStore(t, frequentProgress, shortWatchIdle)
	swapOne(c, kv, store.Swap{Key: "1", Value: []byte("v")})
	ctx, cancel := context.WithTimeout(context.Background(), generousTimeout)
	defer cancel()
	var keys []string
	err := kv.Watch(ctx, "", 1, func(b store.WatchBatch) {
		for _, e := range b.Events {
			keys = append(keys, e.Key)
		}
		if len(keys) == 1 && len(b.Events) == 1 {
			srv.SetFaults(standin.Faults{FreezeWatches: true})
			swapOne(c, kv, store.Swap{Key: "2", Value: []byte("v")})
		}
		if len(keys) == 2 {
			cancel()
		}
	})
	c.Assert(eris.Is(err, context.Canceled), qt.IsTrue)
	c.Assert(keys, qt.DeepEquals, []string{"1", "2"})
}

// A watch must return ErrCompacted instead of skipping changes that the store no longer
// has or that a restore removed.
func TestWatchCompactedOrRestored(t *testing.T) {
	for name, change := range map[string]func(*standin.Server){
		"compacted": (*standin.Server).Compact,
		"restored":  (*standin.Server).Restore,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			srv, kv := startStore(t, frequentProgress, shortWatchIdle)
			for i := range 5 {
				swapOne(c, kv, store.Swap{Key: fmt.Sprint(i), Value: []byte("v")})
			}
			change(srv)
			err := kv.Watch(context.Background(), "", 4, func(store.WatchBatch) {})
			c.Assert(eris.Is(err, store.ErrCompacted), qt.IsTrue)
		})
	}
}

// A restore during a watch must be detected even if the store's revision has passed the
// old one when the watch reconnects.
func TestWatchRestoredBeyondOldRevision(t *testing.T) {
	c := qt.New(t)
	srv, kv := startStore(t, frequentProgress, shortWatchIdle)
	first := true
	err := kv.Watch(context.Background(), "", 1, func(store.WatchBatch) {
		if first {
			first = false
			srv.Restore()
			for i := range 20 {
				swapOne(c, kv, store.Swap{Key: fmt.Sprint(i), Value: []byte("v")})
			}
		}
	})
	c.Assert(eris.Is(err, store.ErrCompacted), qt.IsTrue)
}
