package engine

import (
	"slices"
	"time"
)

const (
	// lateFirstShare is the work of late units that may start before units in time, relative to the
	// work of the units in time that start meanwhile. It suffices for single late units; larger shares
	// make more units late than they save, see TestFloodOfUrgentGangs.
	lateFirstShare = 0.05
	// accountGranularity is the difference in latest starts, as a multiple of the critical path, below
	// which units rank equally and the account that uses less goes first. Smaller differences hardly
	// ever leave a choice between accounts, as capacity becomes free about once in a run time.
	accountGranularity = 1
)

// lateOrder holds the state of Policy.LateOrder.
//
// It limits, for each queue group, the work of late units that start before units in time. Without
// a limit, under a lasting overload each late unit that goes first makes a unit in time late, which
// then goes first itself, until all units are late.
type lateOrder struct {
	share       float64
	granularity float64
	// debt is the work, in core-seconds, of late units that went first and that starts of units in
	// time have not made up for yet. A late unit goes first only if there is none. Groups without
	// debt have no entry.
	debt map[queueGroup]float64
}

func newLateOrder() lateOrder {
	return lateOrder{share: lateFirstShare, granularity: accountGranularity, debt: map[queueGroup]float64{}}
}

// queueGroup identifies units among which lateness decides the order.
type queueGroup struct {
	service   string
	protected bool
	priority  int
}

func (u *unit) queueGroup(protected bool) queueGroup {
	return queueGroup{u.job.spec.Service, protected, u.job.spec.QueuePolicy.Priority}
}

// started records the start of work of a group, either of a late unit that went first or of a unit
// in time.
func (l *lateOrder) started(g queueGroup, lateFirst bool, work float64) {
	if lateFirst {
		l.debt[g] += work
		return
	}
	debt, ok := l.debt[g]
	if !ok {
		return
	}
	if debt -= l.share * work; debt > 0 {
		l.debt[g] = debt
	} else {
		delete(l.debt, g)
	}
}

// lateGroup is what a round knows of a queue group.
type lateGroup struct {
	key        queueGroup
	late       bool // a unit of the group is late but of use
	inTime     bool // a unit of the group is in time
	mayGoFirst bool // there is no debt
	first      int  // index of the late unit that goes first; -1 if there is none
	account    string
	accounts   bool // its units belong to several accounts
}

// add adds a unit to the group.
func (g *lateGroup) add(a *rankedUnit) {
	g.late = g.late || a.class == classLate
	g.inTime = g.inTime || a.class == classInTime
	g.accounts = g.accounts || a.unit.job.spec.Account != g.account
}

// rankLate sets the sort keys of the units in all groups in which a unit is late but still of use.
// It leaves other groups as they are.
func (e *Engine) rankLate(now time.Duration, ranked []rankedUnit) {
	groups := e.lateGroups(ranked)
	usage := e.usage()
	for i := range ranked {
		a := &ranked[i]
		if a.class > classLate {
			continue
		}
		group := &groups[a.groupIndex]
		if group.late && group.accounts {
			a.rankStart = a.latestStart.Truncate(time.Duration(e.lateOrder.granularity * float64(e.criticalPathFrom(a.unit))))
			a.usage = usage[accountOfService{a.unit.job.spec.Service, a.unit.job.spec.Account}]
		}
		if a.class != classLate || !group.inTime || !group.mayGoFirst || !e.lastChance(now, a) {
			continue
		}
		if group.first < 0 || a.key().compare(ranked[group.first].key()) < 0 {
			group.first = i
		}
	}
	for i := range groups {
		if first := groups[i].first; first >= 0 {
			ranked[first].class = classLateFirst
		}
	}
}

// lateGroups returns the groups of all units that are in time or late but of use, and sets the
// units' groupIndex. There are few groups.
func (e *Engine) lateGroups(ranked []rankedUnit) []lateGroup {
	var groups []lateGroup
	for i := range ranked {
		a := &ranked[i]
		if a.class > classLate {
			continue
		}
		key := a.unit.queueGroup(a.protected)
		a.groupIndex = slices.IndexFunc(groups, func(g lateGroup) bool { return g.key == key })
		if a.groupIndex < 0 {
			a.groupIndex = len(groups)
			groups = append(groups, lateGroup{key: key, mayGoFirst: e.lateOrder.debt[key] <= 0, first: -1, account: a.unit.job.spec.Account})
		}
		groups[a.groupIndex].add(a)
	}
	return groups
}

// lastChance reports whether a late unit has to start soon to be of use. The margin covers the end
// of a run that occupies the capacity: half of the unit's own path, at least the time of a stop.
func (e *Engine) lastChance(now time.Duration, a *rankedUnit) bool {
	return a.latestStart-now <= max(e.criticalPathFrom(a.unit)/2, e.tracker.stopTime)
}

// accountOfService identifies an account's use of a service.
type accountOfService struct{ service, account string }

// usage returns what each account's units hold of each service, in core equivalents.
func (e *Engine) usage() map[accountOfService]float64 {
	sums := map[accountOfService]float64{}
	for _, j := range e.orderedJobs {
		held := 0.0
		for _, u := range j.units {
			for _, p := range u.placements {
				held += p.demand.CoreEquivalent()
			}
		}
		if held > 0 {
			sums[accountOfService{j.spec.Service, j.spec.Account}] += held
		}
	}
	return sums
}

// recordStarts records which units of the queue were placed, for the limit on late units.
func (r *round) recordStarts(queue []*unit) {
	if !r.e.params.Policy.LateOrder {
		return
	}
	for _, u := range queue {
		if u.state == unitWaiting {
			continue
		}
		switch u.queueClass {
		case classInTime, classLateFirst:
			work := u.totalDemand().CoreEquivalent() * r.e.estimate(u).Seconds()
			r.e.lateOrder.started(u.queueGroup(r.protected[u.job]), u.queueClass == classLateFirst, work)
		}
	}
}
