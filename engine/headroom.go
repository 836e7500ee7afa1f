package engine

import (
	"slices"
	"time"
)

// Headroom answers bursts of urgent jobs that fit on one rack and last for a second or
// three: stopping other work for each takes as long as a stop does, which is most of what
// such a job may be late. So work that can wait leaves one rack as empty as urgent jobs
// lately needed it. What can't wait any longer takes that room too.
const (
	// patientSlack is how much time a unit must have left before its latest start to
	// leave the room alone. It covers the wait for the next release of room.
	patientSlack = 6 * time.Second
	// patientMost bounds how long a unit leaves the room alone after it could have started:
	// several times what an urgent job lasts.
	patientMost = 12 * time.Second
	// urgentKept is how many urgent units are remembered; more than a burst brings.
	urgentKept = 24
)

// urgent remembers how many accelerators urgent units took.
type urgent struct {
	sizes []int
}

func (u *urgent) note(size int) {
	u.sizes = append(u.sizes, size)
	if len(u.sizes) > urgentKept {
		u.sizes = u.sizes[1:]
	}
}

// target returns the accelerators to keep free: as many as all but the largest of a share
// of the latest urgent units took.
func (u *urgent) target(share float64) int {
	if len(u.sizes) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(u.sizes))
	return sorted[int(share*float64(len(sorted)-1))]
}

// pickSpare chooses the rack that is kept empty: the emptiest, which it stays unless
// another is clearly emptier.
func (r *round) pickSpare() {
	if r.e.params.Policy.Headroom {
		r.target = r.e.urgent.target(r.e.params.Policy.HeadroomShare)
	}
	best, most := "", -1
	for _, rack := range r.rackNames {
		free := r.rackFree(rack)
		if rack == r.e.spareRack {
			free += r.target / 2
		}
		if free > most {
			best, most = rack, free
		}
	}
	r.e.spareRack = best
}

// rackFree returns the accelerators of a rack that nothing holds or claims.
func (r *round) rackFree(rack string) int {
	return r.racks[rack].freeAccelerators()
}

// spared returns how many members of u may go onto w without using up the headroom.
func (r *round) spared(u *unit, w *worker, n int) int {
	need := u.demand().Accelerators
	if n <= 0 || need == 0 || w.info.Rack != r.e.spareRack || !r.patient(u) {
		return n
	}
	return max(0, min(n, (r.rackFree(w.info.Rack)-r.target)/need))
}

// patient says whether u can wait.
//
// The failure that the bound guards against: a job that has missed its objective has no
// deadline left. It would leave the room alone for ever, and never run where only that rack
// has its data, with the room free.
func (r *round) patient(u *unit) bool {
	if u.job.spec.Terms.Priority == 0 || r.now-u.since > patientMost {
		return false
	}
	return r.e.latestStart(r.now, u)-r.now > patientSlack
}
