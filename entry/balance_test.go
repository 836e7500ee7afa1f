package entry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// region is some entries that hand duties over by choose alone.
type region struct {
	now   time.Time
	holds map[string][]ownDuty
	since map[string]time.Time
	moves int
}

func (r *region) others(own string) []candidate {
	var out []candidate
	for id, since := range r.since {
		if id != own {
			out = append(out, candidate{id: id, since: since, duties: len(r.holds[id])})
		}
	}
	return out
}

// step lets every entry hand over one duty and reports whether one did.
func (r *region) step() bool {
	moved := false
	for id := range r.since {
		service, to, ok := choose(r.now, id, r.holds[id], r.others(id))
		if !ok {
			continue
		}
		moved = true
		r.moves++
		for i, d := range r.holds[id] {
			if d.service == service {
				r.holds[id] = append(r.holds[id][:i:i], r.holds[id][i+1:]...)
			}
		}
		r.holds[to] = append(r.holds[to], ownDuty{service: service})
	}
	r.now = r.now.Add(handOverEvery)
	return moved
}

// The entry that starts first has all 94 duties. They move to the entries that
// came later, none twice, and then stay; a restart of one entry moves no more
// than its share.
func TestDutiesSpreadAndStay(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1e9, 0)
	r := &region{now: start, holds: map[string][]ownDuty{}, since: map[string]time.Time{}}
	for i := range 4 {
		r.since[fmt.Sprint("entry-", i)] = start
	}
	for i := range 94 {
		r.holds["entry-0"] = append(r.holds["entry-0"], ownDuty{service: fmt.Sprint("service-", i)})
	}
	c.Assert(r.step(), qt.IsFalse, qt.Commentf("the others are not settled"))
	r.now = start.Add(settleTime)
	for r.step() {
	}
	c.Assert(r.moves < 94, qt.IsTrue)
	for id := range r.since {
		c.Check(len(r.holds[id]) > 94/8 && len(r.holds[id]) < 94*3/8, qt.IsTrue, qt.Commentf("%s holds %d", id, len(r.holds[id])))
	}
	share := len(r.holds["entry-3"])
	r.moves = 0
	r.holds["entry-2"] = append(r.holds["entry-2"], r.holds["entry-3"]...)
	r.holds["entry-3"] = nil
	r.since["entry-3"] = r.now.Add(time.Minute)
	r.now = r.now.Add(time.Minute + settleTime)
	for r.step() {
	}
	c.Check(r.moves <= share, qt.IsTrue, qt.Commentf("%d moves for a share of %d", r.moves, share))
}

// What is not worth its hand-over stays: the only duty of a region, one whose
// preferred entry does not take part in its service, and one that came back.
func TestDutiesThatStay(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	var mine []ownDuty
	others := []candidate{{id: "b", since: now.Add(-time.Hour)}}
	for i := 0; len(mine) < 3; i++ {
		service := fmt.Sprint("service-", i)
		if rank(service, "a", others) == 1 {
			mine = append(mine, ownDuty{service: service})
		}
	}
	_, _, ok := choose(now, "a", mine, others)
	c.Assert(ok, qt.IsTrue)
	_, _, ok = choose(now, "a", mine[:1], others)
	c.Check(ok, qt.IsFalse)
	others[0].services = []string{"another"}
	_, _, ok = choose(now, "a", mine, others)
	c.Check(ok, qt.IsFalse)
	others[0].services = nil
	for i := range mine {
		mine[i].offered = now.Add(-time.Minute)
	}
	_, _, ok = choose(now, "a", mine, others)
	c.Check(ok, qt.IsFalse)
}
