package entry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// simRegion simulates the hand-overs of a region's entries by chooseHandOver.
type simRegion struct {
	now          time.Time
	leaderships  map[string][]ownLeadership
	presentSince map[string]time.Time
	handOvers    int
}

func (r *simRegion) others(own string) []candidate {
	var out []candidate
	for id, since := range r.presentSince {
		if id != own {
			out = append(out, candidate{id: id, presentSince: since, leaderships: len(r.leaderships[id])})
		}
	}
	return out
}

// handOverAll lets every entry hand over one leadership and reports whether one did.
func (r *simRegion) handOverAll() bool {
	moved := false
	for id := range r.presentSince {
		service, to, ok := chooseHandOver(r.now, id, r.leaderships[id], r.others(id))
		if !ok {
			continue
		}
		moved = true
		r.handOvers++
		for i, l := range r.leaderships[id] {
			if l.service == service {
				r.leaderships[id] = append(r.leaderships[id][:i:i], r.leaderships[id][i+1:]...)
			}
		}
		r.leaderships[to] = append(r.leaderships[to], ownLeadership{service: service})
	}
	r.now = r.now.Add(handOverInterval)
	return moved
}

// Guards against one entry keeping all leaderships, against leaderships that move more
// than once, and against a restart that moves more than the restarted entry's share.
func TestLeadershipsBalanceAndStay(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1e9, 0)
	r := &simRegion{now: start, leaderships: map[string][]ownLeadership{}, presentSince: map[string]time.Time{}}
	for i := range 4 {
		r.presentSince[fmt.Sprint("entry-", i)] = start
	}
	for i := range 94 {
		r.leaderships["entry-0"] = append(r.leaderships["entry-0"], ownLeadership{service: fmt.Sprint("service-", i)})
	}
	c.Assert(r.handOverAll(), qt.IsFalse, qt.Commentf("the others have been present for less than minCandidateAge"))
	r.now = start.Add(minCandidateAge)
	for r.handOverAll() {
	}
	c.Assert(r.handOvers < 94, qt.IsTrue)
	for id := range r.presentSince {
		c.Check(len(r.leaderships[id]) > 94/8 && len(r.leaderships[id]) < 94*3/8, qt.IsTrue, qt.Commentf("%s holds %d leaderships", id, len(r.leaderships[id])))
	}
	share := len(r.leaderships["entry-3"])
	r.handOvers = 0
	r.leaderships["entry-2"] = append(r.leaderships["entry-2"], r.leaderships["entry-3"]...)
	r.leaderships["entry-3"] = nil
	r.presentSince["entry-3"] = r.now.Add(time.Minute)
	r.now = r.now.Add(time.Minute + minCandidateAge)
	for r.handOverAll() {
	}
	c.Check(r.handOvers <= share, qt.IsTrue, qt.Commentf("%d hand-overs for a share of %d", r.handOvers, share))
}

// Guards against hand-overs without benefit: of a region's only leadership, to an entry
// that does not take part in the service, and of a leadership that came back.
func TestLeadershipsNotHandedOver(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	var held []ownLeadership
	others := []candidate{{id: "b", presentSince: now.Add(-time.Hour)}}
	for i := 0; len(held) < 3; i++ {
		service := fmt.Sprint("service-", i)
		if rank(service, "a", others) == 1 {
			held = append(held, ownLeadership{service: service})
		}
	}
	_, _, ok := chooseHandOver(now, "a", held, others)
	c.Assert(ok, qt.IsTrue)
	_, _, ok = chooseHandOver(now, "a", held[:1], others)
	c.Check(ok, qt.IsFalse)
	others[0].services = []string{"another"}
	_, _, ok = chooseHandOver(now, "a", held, others)
	c.Check(ok, qt.IsFalse)
	others[0].services = nil
	for i := range held {
		held[i].handedOverAt = now.Add(-time.Minute)
	}
	_, _, ok = chooseHandOver(now, "a", held, others)
	c.Check(ok, qt.IsFalse)
}
