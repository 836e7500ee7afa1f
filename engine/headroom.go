package engine

import (
	"cmp"
	"slices"
	"time"
)

// Headroom answers bursts of urgent jobs that fit on one rack and last for a second or
// three: stopping other work for each takes as long as a stop does, which is most of what
// such a job may be late. So work that can wait leaves some racks as empty as urgent jobs
// lately needed them. What can't wait any longer takes that room too.
const (
	// deferrableSlack is how much time a unit must have left before its latest start to
	// leave the room alone. It covers the wait for the next release of room.
	deferrableSlack = 6 * time.Second
	// maxDeferral bounds how long a unit leaves the room alone after it could have started:
	// several times what an urgent job lasts.
	maxDeferral = 12 * time.Second
	// minUrgentHistory is how many urgent jobs are remembered at least, and urgentFor how long:
	// more than a burst brings.
	minUrgentHistory = 24
	urgentHistoryAge = 15 * time.Second
	// maxHeadroomShare is the largest part of the racks that is kept for urgent jobs: a fleet that
	// stands ready for more has no room for the work that pays for it.
	maxHeadroomShare = 0.25
)

// urgentHistory remembers when urgentHistory jobs came and how many accelerators they took.
type urgentHistory struct {
	arrivals []urgentArrival
}

type urgentArrival struct {
	at           time.Duration
	accelerators int
}

func (u *urgentHistory) add(now time.Duration, accelerators int) {
	u.arrivals = append(u.arrivals, urgentArrival{now, accelerators})
	for len(u.arrivals) > minUrgentHistory && now-u.arrivals[0].at > urgentHistoryAge {
		u.arrivals = u.arrivals[1:]
	}
}

// target returns the accelerators to keep free: as many as all but the largest of a share
// of the latest urgent jobs took, and at least what came together within the time that it
// takes to make room for more. On a small fleet that is one job; where several come each
// second, room for one would be gone with the first.
func (u *urgentHistory) target(share float64, stopTime time.Duration) int {
	if len(u.arrivals) == 0 {
		return 0
	}
	sizes := make([]int, len(u.arrivals))
	for i, a := range u.arrivals {
		sizes[i] = a.accelerators
	}
	slices.Sort(sizes)
	return max(sizes[int(share*float64(len(sizes)-1))], u.peakWithin(stopTime))
}

// peakWithin returns the most accelerators that urgent jobs took which came within a span.
func (u *urgentHistory) peakWithin(span time.Duration) int {
	peak, sum, first := 0, 0, 0
	for _, a := range u.arrivals {
		sum += a.accelerators
		for a.at-u.arrivals[first].at > span {
			sum -= u.arrivals[first].accelerators
			first++
		}
		peak = max(peak, sum)
	}
	return peak
}

// pickHeadroomRacks chooses the racks that are kept empty: the emptiest, as many as hold the target.
// They stay so unless others are clearly emptier.
func (r *round) pickHeadroomRacks() {
	if r.e.params.Policy.Headroom {
		r.target = r.e.urgentHistory.target(r.e.params.Policy.HeadroomShare, r.e.params.StopTime)
	}
	type rackCandidate struct {
		rack string
		free int
	}
	var racks []rackCandidate
	for _, rack := range r.rackNames {
		free := r.racks[rack].freeAccelerators()
		if r.e.headroomRacks[rack] {
			free += min(r.target, r.racks[rack].totalAccelerators()) / 2
		}
		racks = append(racks, rackCandidate{rack, free})
	}
	slices.SortStableFunc(racks, func(a, b rackCandidate) int { return cmp.Compare(b.free, a.free) })
	maxRacks := max(1, int(maxHeadroomShare*float64(len(racks))))
	picked, capacity := map[string]bool{}, 0
	for _, c := range racks {
		if len(picked) > 0 && (capacity >= r.target || len(picked) == maxRacks) {
			break
		}
		picked[c.rack] = true
		capacity += r.racks[c.rack].totalAccelerators()
	}
	r.e.headroomRacks = picked
	r.target = min(r.target, capacity)
}

// freeHeadroom returns the accelerators of the spare racks that nothing holds or claims.
func (r *round) freeHeadroom() int {
	sum := 0
	for rack := range r.e.headroomRacks {
		sum += r.racks[rack].freeAccelerators()
	}
	return sum
}

// limitToHeadroom returns how many members of u may go onto w without using up the headroom.
func (r *round) limitToHeadroom(u *unit, w *worker, n int) int {
	need := u.demand().Accelerators
	if n <= 0 || need == 0 || !r.e.headroomRacks[w.info.Rack] || !r.deferrable(u) {
		return n
	}
	return max(0, min(n, (r.freeHeadroom()-r.target)/need))
}

// deferrable says whether u can wait.
//
// The failure that the bound guards against: a job that has missed its objective has no
// deadline left. It would leave the room alone for ever, and never run where only that rack
// has its data, with the room free.
func (r *round) deferrable(u *unit) bool {
	if u.job.spec.QueuePolicy.Priority == 0 || r.now-u.since > maxDeferral {
		return false
	}
	return r.e.latestStart(r.now, u)-r.now > deferrableSlack
}
