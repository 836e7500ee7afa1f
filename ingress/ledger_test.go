package ingress

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testLedger is a ledger whose connections end as soon as they are evicted.
type testLedger struct {
	*Ledger
	c      *qt.C
	now    time.Time
	closed []string
}

func newTestLedger(t *testing.T, connections int, memory int64) *testLedger {
	return &testLedger{
		Ledger: NewLedger(Limits{Connections: connections, Memory: memory, HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second}),
		c:      qt.New(t),
		now:    time.Unix(1000, 0),
	}
}

func (l *testLedger) after(d time.Duration) time.Time {
	l.now = l.now.Add(d)
	return l.now
}

func (l *testLedger) mustOpen(name string) *Account {
	l.c.Helper()
	var a *Account
	a, err := l.Open(func() {
		l.closed = append(l.closed, name)
		a.Close()
	}, l.after(time.Millisecond))
	l.c.Assert(err, qt.IsNil)
	return a
}

func TestReserveWithinMemory(t *testing.T) {
	l := newTestLedger(t, 10, 100<<10)
	a := l.mustOpen("a")
	l.c.Assert(a.Reserve(100<<10, l.now), qt.IsNil)
	a.Release(30 << 10)
	l.c.Assert(a.ReleaseAllBut(80<<10), qt.Equals, int64(70<<10))
	l.c.Assert(a.ReleaseAllBut(10<<10), qt.Equals, int64(10<<10))
	l.c.Assert(l.mustOpen("b").Reserve(90<<10, l.now), qt.IsNil)
	l.c.Assert(l.closed, qt.HasLen, 0)
	l.c.Assert(l.counters.RequestBytes.Load(), qt.Equals, int64(100<<10))
}

// Guards against clients that hold all memory with unfinished requests, so that others are refused.
func TestOldestUnfinishedRequestIsEvicted(t *testing.T) {
	l := newTestLedger(t, 10, 100<<10)
	a, b := l.mustOpen("a"), l.mustOpen("b")
	l.c.Assert(a.Reserve(50<<10, l.now), qt.IsNil)
	l.c.Assert(b.Reserve(50<<10, l.now), qt.IsNil)
	l.c.Assert(l.mustOpen("c").Reserve(30<<10, l.now), qt.IsNil)
	l.c.Assert(l.closed, qt.DeepEquals, []string{"a"})
	l.c.Assert(a.Reserve(1, l.now), qt.Equals, ErrOverloaded)
}

// Guards against an unfinished request that takes the memory of those that began after it.
func TestOldestUnfinishedRequestEvictsNone(t *testing.T) {
	l := newTestLedger(t, 10, 100<<10)
	a, b := l.mustOpen("a"), l.mustOpen("b")
	l.c.Assert(b.Reserve(100<<10, l.now), qt.IsNil)
	l.c.Assert(a.Reserve(10<<10, l.now), qt.Equals, ErrOverloaded)
	l.c.Assert(l.closed, qt.HasLen, 0)
}

// Guards against a request that is aborted after it was received completely.
func TestRequestInServiceIsNotEvicted(t *testing.T) {
	l := newTestLedger(t, 1, 100<<10)
	a := l.mustOpen("a")
	l.c.Assert(a.Reserve(100<<10, l.now), qt.IsNil)
	a.SetState(Serving, l.now)
	_, err := l.Open(func() {}, l.now)
	l.c.Assert(err, qt.Equals, ErrOverloaded)
	l.c.Assert(l.counters.Connections.Load(), qt.Equals, int64(1))
	l.c.Assert(l.closed, qt.HasLen, 0)
}

// Guards against evictions that do not make enough room, so that they are of no use.
func TestNoneIsEvictedWithoutEffect(t *testing.T) {
	l := newTestLedger(t, 10, 100<<10)
	served, waiting := l.mustOpen("served"), l.mustOpen("waiting")
	l.c.Assert(served.Reserve(90<<10, l.now), qt.IsNil)
	served.SetState(Serving, l.now)
	l.c.Assert(waiting.Reserve(10<<10, l.now), qt.IsNil)
	l.c.Assert(l.mustOpen("late").Reserve(20<<10, l.now), qt.Equals, ErrOverloaded)
	l.c.Assert(l.closed, qt.HasLen, 0)
}

// Guards against clients that hold all connections, so that others can't connect.
func TestConnectionThatUsedMostOfItsTimeIsEvicted(t *testing.T) {
	for _, test := range []struct {
		name         string
		idle, silent time.Duration // how long before the next connection the state began
		evicted      string
	}{
		{"idle for a larger part", 9 * time.Second, 800 * time.Millisecond, "idle"},
		{"silent for a larger part", 5 * time.Second, 800 * time.Millisecond, "silent"},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newTestLedger(t, 2, 1)
			l.mustOpen("idle").SetState(Idle, l.now)
			l.after(test.idle - test.silent)
			l.mustOpen("silent")
			l.after(test.silent)
			l.mustOpen("next")
			l.c.Assert(l.closed, qt.DeepEquals, []string{test.evicted})
			l.c.Assert(l.counters.Connections.Load(), qt.Equals, int64(2))
		})
	}
}

// Guards against memory that is handed out before the connection that held it has ended.
func TestMemoryOfEvictedIsAwaited(t *testing.T) {
	l := newTestLedger(t, 10, 100<<10)
	aborted := make(chan struct{})
	a, err := l.Open(func() { close(aborted) }, l.now)
	l.c.Assert(err, qt.IsNil)
	l.c.Assert(a.Reserve(100<<10, l.now), qt.IsNil)
	b := l.mustOpen("b")
	reserved := make(chan error)
	go func() { reserved <- b.Reserve(50<<10, l.now) }()
	<-aborted
	select {
	case <-reserved:
		l.c.Fatal("memory was handed out that is still in use")
	case <-time.After(20 * time.Millisecond):
	}
	a.Close()
	l.c.Assert(<-reserved, qt.IsNil)
	l.c.Assert(l.counters.RequestBytes.Load(), qt.Equals, int64(50<<10))
}

// Guards against a reservation that can never be met and waits for it.
func TestReserveBeyondAllMemory(t *testing.T) {
	l := newTestLedger(t, 10, 100)
	l.c.Assert(l.mustOpen("a").Reserve(101, l.now), qt.Equals, ErrOverloaded)
}

func TestLimitsOfInstances(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		memory      int64
		descriptors int
		want        Limits
	}{
		{284 << 20, 4100, Limits{Connections: 649, Memory: 284 << 20 / 8}},
		{1048 << 20, 16384, Limits{Connections: 2395, Memory: 1048 << 20 / 8}},
		{284 << 20, 1024, Limits{Connections: 412, Memory: 284 << 20 / 8}},
		{1, 1, Limits{Connections: 16, Memory: 8 << 20}},
	} {
		c.Check(Limits{}.ForInstance(test.memory, test.descriptors), qt.Equals, test.want)
	}
}
