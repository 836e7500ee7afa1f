package engine

import (
	"cmp"
	"slices"
	"time"
)

// Waiting for evictions uses up most of the slack of an urgent job that lasts a few seconds. So
// deferrable work leaves as much capacity free on some racks, the headroom, as recent urgent jobs
// needed. Work that can't be deferred any longer uses the headroom too.
const (
	// deferrableSlack is the minimum time to a unit's latest start at which it is deferrable. It
	// covers the wait for the next release of capacity.
	deferrableSlack = 6 * time.Second
	// maxDeferral limits how long a unit that could have started is kept out of the headroom. It
	// is several times the run time of an urgent job.
	maxDeferral = 12 * time.Second
	// minUrgentHistory is the number of urgent jobs that are always remembered. Further ones are
	// remembered for urgentHistoryAge, to cover a whole burst.
	minUrgentHistory = 24
	urgentHistoryAge = 15 * time.Second
	// maxHeadroomShare limits the share of racks kept as headroom, so that enough remain for
	// other work.
	maxHeadroomShare = 0.25
)

// urgentHistory holds the arrival times and sizes of recent urgent jobs.
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

// target returns the number of accelerators to keep free: a quantile of the sizes of recent urgent
// jobs, given by share, but at least the peak demand within stopTime. The peak matters if several
// urgent jobs arrive in the time that it takes to stop other work.
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

// peakWithin returns the most accelerators that urgent jobs requested within any span of that
// length.
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

// pickHeadroomRacks chooses the emptiest racks as headroom: enough to hold the target, but at
// most maxHeadroomShare of all racks, and at least one. The present headroom racks are preferred,
// so that they change only if others are clearly emptier.
func (r *round) pickHeadroomRacks() {
	if r.e.params.Policy.Headroom {
		r.headroomTarget = r.e.urgentHistory.target(r.e.params.Policy.HeadroomShare, r.e.params.StopTime)
	}
	type rackCandidate struct {
		rack string
		free int
	}
	var racks []rackCandidate
	for _, rack := range r.rackNames {
		free := r.racks[rack].freeFastAccelerators()
		if r.e.headroomRacks[rack] {
			free += min(r.headroomTarget, r.racks[rack].totalFastAccelerators()) / 2
		}
		racks = append(racks, rackCandidate{rack, free})
	}
	slices.SortStableFunc(racks, func(a, b rackCandidate) int { return cmp.Compare(b.free, a.free) })
	maxRacks := max(1, int(maxHeadroomShare*float64(len(racks))))
	picked, capacity := map[string]bool{}, 0
	for _, c := range racks {
		if len(picked) > 0 && (capacity >= r.headroomTarget || len(picked) == maxRacks) {
			break
		}
		picked[c.rack] = true
		capacity += r.racks[c.rack].totalFastAccelerators()
	}
	r.e.headroomRacks = picked
	r.headroomTarget = min(r.headroomTarget, capacity)
}

// freeHeadroom returns the number of free and unclaimed accelerators of the headroom racks, apart
// from slow workers, on which urgent jobs would be late.
func (r *round) freeHeadroom() int {
	sum := 0
	for rack := range r.e.headroomRacks {
		sum += r.racks[rack].freeFastAccelerators()
	}
	return sum
}

// limitToHeadroom returns how many of n members of u may be placed on w without using headroom
// that must stay free.
func (r *round) limitToHeadroom(u *unit, w *worker, n int) int {
	need := u.demand().Accelerators
	if n <= 0 || need == 0 || !r.e.headroomRacks[w.info.Rack] || w.round.slow || !r.deferrable(u) {
		return n
	}
	return max(0, min(n, (r.freeHeadroom()-r.headroomTarget)/need))
}

// deferrable reports whether u can be kept out of the headroom.
//
// The time limit guards against starvation: a job that has missed its objective has no deadline
// left, so it would never run if only a headroom rack holds its data.
func (r *round) deferrable(u *unit) bool {
	if u.job.spec.QueuePolicy.Priority == 0 || r.now-u.waitingSince > maxDeferral {
		return false
	}
	return r.e.latestStart(r.now, u)-r.now > deferrableSlack
}
