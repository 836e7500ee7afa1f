package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

// A duty is to move to another process, and the holder gives it up. Without a
// pause it would be first to find it vacant and take it again.
func TestHolderYields(t *testing.T) {
	c := qt.New(t)
	b := newBench(t, standin.Options{})
	hesitate := func(o *lease.Options) { o.Hesitate = func() time.Duration { return time.Hour } }
	first, gained := b.run(t, 10*time.Minute)
	c.Assert((<-gained).Epoch, qt.Equals, uint64(1))
	_, other := b.run(t, 10*time.Minute, hesitate)
	// Meant for an earlier holding: ignored.
	first.Yield(0)
	first.Observe(4)
	c.Assert((<-gained).Epoch, qt.Equals, uint64(5))
	third, won := b.run(t, 10*time.Minute)
	first.Yield(5)
	var held lease.Held
	select {
	case held = <-won:
		_, ok := third.Current()
		c.Assert(ok, qt.IsTrue)
	case held = <-gained:
	case <-other:
		c.Fatal("the hesitating candidate came first")
	}
	c.Assert(held.Epoch, qt.Equals, uint64(6))
}
