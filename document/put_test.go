package document_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// documentText returns a small document of service. label makes the text unique.
func documentText(service, label string) []byte {
	return fmt.Appendf(nil, `service = %q
owner = "%s"

[[account]]
name = "harbourline"

[[class]]
name = "risk-check"
kind = "quick"
`, service, label)
}

func proposal(label string, base uint64) document.Proposal {
	return document.Proposal{
		FileName:       label + ".toml",
		TOML:           documentText("dispatch", label),
		BaseGeneration: base,
		Author:         label,
		Token:          fmt.Sprintf("token-%016s", label),
		CreatedAt:      time.Now(),
	}
}

func TestPutAndGet(t *testing.T) {
	c := qt.New(t)
	kv := newFakeStore()
	ctx := context.Background()
	_, ok, err := document.Get(ctx, kv, "dispatch")
	c.Assert(ok, qt.IsFalse)
	c.Assert(err, qt.IsNil)

	first, err := document.Put(ctx, kv, proposal("first", 0))
	c.Assert(err, qt.IsNil)
	late := proposal("second", 1)
	late.CreatedAt = first.CreatedAt.Add(-time.Hour) // the operator's clock is behind
	second, err := document.Put(ctx, kv, late)
	c.Assert(err, qt.IsNil)
	c.Assert(second.Generation, qt.Equals, uint64(2))
	c.Assert(second.CreatedAt.After(first.CreatedAt), qt.IsTrue)

	got, _, err := document.Get(ctx, kv, "dispatch")
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, second)
	again, err := document.Put(ctx, kv, late)
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.DeepEquals, second)
}

// An operator must not overwrite a concurrent change; the error names the other author and
// the difference.
func TestPutConflictShowsDiff(t *testing.T) {
	c := qt.New(t)
	kv := newFakeStore()
	ctx := context.Background()
	for base, label := range []string{"old", "fast"} {
		_, err := document.Put(ctx, kv, proposal(label, uint64(base)))
		c.Assert(err, qt.IsNil)
	}
	_, err := document.Put(ctx, kv, proposal("slow", 1))
	c.Assert(err, qt.ErrorIs, document.ErrConflict)
	var conflict *document.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Assert(conflict.Current.Author, qt.Equals, "fast")
	c.Assert(err, qt.ErrorMatches, `(?s).*base is generation 1, the store holds generation 2 by fast.*`)
	c.Assert(conflict.Diff, qt.Contains, "-owner = \"fast\"\n+owner = \"slow\"\n")
}

// A put to a restored store would be lost when the processes write their newer generation
// back.
func TestPutRefusesStoreBehind(t *testing.T) {
	c := qt.New(t)
	kv := newFakeStore()
	_, err := document.Put(context.Background(), kv, proposal("old", 0))
	c.Assert(err, qt.IsNil)
	p := proposal("new", 1)
	p.ActiveGeneration = 3
	_, err = document.Put(context.Background(), kv, p)
	c.Assert(err, qt.ErrorIs, document.ErrStoreBehind)
}

func TestPutRefusesInvalidDocument(t *testing.T) {
	c := qt.New(t)
	p := proposal("bad", 0)
	p.TOML = []byte("service = 3\n")
	_, err := document.Put(context.Background(), newFakeStore(), p)
	c.Assert(err, qt.ErrorMatches, `(?s).*bad.toml:1: service: wrong type.*`)
}

// If no reply ever arrives, the outcome must be reported as unknown, neither as success
// nor as "not written".
func TestPutOutcomeUnknownWithoutReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newFakeStore()
		kv.nextFault = func() swapFault { return requestLost }
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := document.Put(ctx, kv, proposal("first", 0))
		qt.Assert(t, err, qt.ErrorIs, document.ErrOutcomeUnknown)
	})
}

// Among concurrent puts on the same base with lost replies and delayed requests, at most
// one may be reported as successful, and only if the store has that version.
func TestConcurrentPutsWithLostReplies(t *testing.T) {
	const runs, operators = 400, 3
	unknown := 0
	for seed := range uint64(runs) {
		synctest.Test(t, func(t *testing.T) { unknown += runConcurrentPuts(t, seed, operators) })
	}
	t.Logf("%d runs of %d operators, %d unknown outcomes", runs, operators, unknown)
}

func runConcurrentPuts(t *testing.T, seed uint64, operators int) (unknown int) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(seed, 1))
	kv := newFakeStore()
	kv.latency = time.Millisecond
	faultsLeft := 20 // swaps before the faults end
	kv.nextFault = func() swapFault {
		faultsLeft--
		if faultsLeft < 0 || rng.IntN(2) == 0 {
			return noFault
		}
		return swapFault(1 + rng.IntN(3))
	}
	versions := make([]document.Version, operators)
	errs := make([]error, operators)
	delays := make([]time.Duration, operators)
	for i := range delays {
		delays[i] = time.Duration(rng.IntN(3))*time.Millisecond + time.Duration(i)*time.Microsecond
	}
	var wg sync.WaitGroup
	for i, delay := range delays {
		wg.Go(func() {
			time.Sleep(delay)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			versions[i], errs[i] = document.Put(ctx, kv, proposal(fmt.Sprintf("operator%d", i), 0))
		})
	}
	wg.Wait()
	kv.nextFault = nil
	for range maxDelayedCalls { // apply delayed swaps
		_, _, err := document.Get(context.Background(), kv, "dispatch")
		c.Assert(err, qt.IsNil)
	}
	stored, ok, err := document.Get(context.Background(), kv, "dispatch")
	c.Assert(err, qt.IsNil)
	c.Assert(ok, qt.IsTrue, qt.Commentf("seed %d", seed))
	for i, err := range errs {
		won := stored.Author == fmt.Sprintf("operator%d", i)
		switch {
		case err == nil:
			c.Assert(won, qt.IsTrue, qt.Commentf("seed %d: the put of operator %d succeeded, but the store has the version of %s", seed, i, stored.Author))
			c.Assert(versions[i], qt.DeepEquals, stored)
		case errors.Is(err, document.ErrConflict):
			c.Assert(won, qt.IsFalse, qt.Commentf("seed %d: the put of operator %d conflicted, but the store has its version", seed, i))
		default:
			c.Assert(errors.Is(err, document.ErrOutcomeUnknown) || errors.Is(err, store.ErrUnavailable), qt.IsTrue)
			unknown++
		}
	}
	return unknown
}
