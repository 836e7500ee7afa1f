package engine

import (
	"cmp"
	"maps"
	"slices"
)

// WaitReason tells why a unit waits.
type WaitReason uint8

// Values of WaitReason.
const (
	WaitForRoom WaitReason = iota
	WaitBehindGuarantee
	WaitBehindPriority
	WaitLateYields
	WaitForTickets
)

func (r WaitReason) String() string {
	switch r {
	case WaitBehindGuarantee:
		return "behind guarantee"
	case WaitBehindPriority:
		return "behind priority"
	case WaitLateYields:
		return "late, yields"
	case WaitForTickets:
		return "no ticket"
	default:
		return "no room"
	}
}

// UnitsWait reports how many units of an account were not placed in a planning round for a reason.
// A unit is reported once for each reason until it starts.
type UnitsWait struct {
	Account string
	Reason  WaitReason
	Units   int
}

func (UnitsWait) isAction() {}

// queueHead describes the units of one service that come before a unit in the queue.
type queueHead struct {
	service string
	// tier and priority are those of the first unit.
	tier     queueTier
	priority int32
	// lastTier and lastPriority are those of the last unit. inTime is set if a unit that is in
	// time or goes first was among the units equal to it in both.
	lastTier     queueTier
	lastPriority int32
	inTime       bool
}

// setWaitReasons determines for each unit of the sorted queue why it would wait, by the units of
// its service that come before it.
func setWaitReasons(keys []queueKey) {
	var heads []*queueHead // there are few services
	var head *queueHead
	for _, k := range keys {
		service := k.ranked.unit.job.spec.Service
		if head == nil || head.service != service {
			i := slices.IndexFunc(heads, func(h *queueHead) bool { return h.service == service })
			if i < 0 {
				i = len(heads)
				heads = append(heads, &queueHead{service: service, tier: k.tier, priority: k.priority})
			}
			head = heads[i]
		}
		k.ranked.unit.waitReason = head.add(k)
	}
}

// add adds the next unit in the queue and returns why it would wait.
func (h *queueHead) add(k queueKey) WaitReason {
	if h.lastTier != k.tier || h.lastPriority != k.priority {
		h.lastTier, h.lastPriority, h.inTime = k.tier, k.priority, false
	}
	h.inTime = h.inTime || k.class == classInTime
	switch {
	case h.tier == tierProtected && k.tier != tierProtected:
		return WaitBehindGuarantee
	case h.tier < k.tier:
		return WaitLateYields
	case h.priority < k.priority:
		return WaitBehindPriority
	case h.inTime && k.class != classInTime:
		return WaitLateYields
	}
	return WaitForRoom
}

// countWaits reports the units of the queue that were not placed.
func (r *round) countWaits(queue []*unit) {
	var counts map[UnitsWait]int
	for _, u := range queue {
		if u.state != unitWaiting {
			u.reportedWaits = 0
			continue
		}
		bit := uint8(1) << u.waitReason
		if u.reportedWaits&bit != 0 {
			continue
		}
		u.reportedWaits |= bit
		if counts == nil {
			counts = map[UnitsWait]int{}
		}
		counts[UnitsWait{Account: u.job.spec.Account, Reason: u.waitReason}]++
	}
	for _, w := range slices.SortedFunc(maps.Keys(counts), UnitsWait.compare) {
		w.Units = counts[w]
		r.e.actions = append(r.e.actions, w)
	}
}

func (w UnitsWait) compare(o UnitsWait) int {
	return cmp.Or(cmp.Compare(w.Account, o.Account), cmp.Compare(w.Reason, o.Reason))
}
