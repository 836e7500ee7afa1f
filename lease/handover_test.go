package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

// A leader that yields must leave the election to other candidates instead of claiming
// it again first.
func TestCandidateYields(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t, standin.Options{})
	withClaimDelay := func(o *lease.CandidateOptions) { o.ClaimDelay = func() time.Duration { return time.Hour } }
	first, gained := env.startCandidate(t, 10*time.Minute)
	c.Assert((<-gained).Epoch, qt.Equals, uint64(1))
	_, delayed := env.startCandidate(t, 10*time.Minute, withClaimDelay)
	// This names an earlier leadership and is ignored.
	first.Yield(0)
	first.ObserveEpoch(4)
	c.Assert((<-gained).Epoch, qt.Equals, uint64(5))
	third, gainedByThird := env.startCandidate(t, 10*time.Minute)
	first.Yield(5)
	var held lease.Leadership
	select {
	case held = <-gainedByThird:
		_, ok := third.Current()
		c.Assert(ok, qt.IsTrue)
	case held = <-gained:
	case <-delayed:
		c.Fatal("the candidate with a claim delay became leader first")
	}
	c.Assert(held.Epoch, qt.Equals, uint64(6))
}

// forceTakeover starts two candidates and makes the second replace the first, which leads with
// epoch 1 and competes again.
func forceTakeover(t *testing.T) (first, second *lease.Candidate, gained, gainedBySecond <-chan lease.Leadership) {
	c := qt.New(t)
	env := newTestEnv(t, standin.Options{})
	first, gained = env.startCandidate(t, 3*time.Second)
	c.Assert((<-gained).Epoch, qt.Equals, uint64(1))
	second, gainedBySecond = env.startCandidate(t, 10*time.Minute)
	c.Assert(first.ForceTakeover(1), qt.IsFalse, qt.Commentf("the leader itself waits for no vacancy"))
	for !second.ForceTakeover(1) {
		time.Sleep(time.Millisecond) // it does not wait for a vacancy yet
	}
	c.Assert((<-gainedBySecond).Epoch, qt.Equals, uint64(2))
	return first, second, gained, gainedBySecond
}

// A forced takeover must not wait for the leader's lease to expire, and the replaced
// leader, which is alive, must detect it at its next renewal.
func TestForceTakeoverReplacesLeaderAtOnce(t *testing.T) {
	first, second, _, _ := forceTakeover(t)
	for {
		if _, held := first.Current(); !held {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, held := second.Current()
	qt.Check(t, held, qt.IsTrue)
}

// Several candidates may believe that the same leader is dead. One that has not heard yet that
// another took over must not depose that one.
func TestForceTakeoverSparesLaterLeader(t *testing.T) {
	c := qt.New(t)
	first, second, gained, gainedBySecond := forceTakeover(t)
	requests := 0
	for deadline := time.Now().Add(5 * time.Second); requests < 3 && time.Now().Before(deadline); {
		if first.ForceTakeover(1) {
			requests++
		}
		time.Sleep(time.Millisecond)
	}
	c.Assert(requests, qt.Equals, 3)
	held, ok := second.Current()
	c.Check(ok, qt.IsTrue)
	c.Check(held.Epoch, qt.Equals, uint64(2))
	select {
	case ev := <-gainedBySecond:
		c.Fatalf("the later leader was deposed: %+v", ev)
	case ev := <-gained:
		c.Fatalf("the first leader took over again: %+v", ev)
	default:
	}
}
