package admission

import (
	"slices"
	"time"
)

// account is the state of a client account that has requests here, or whose
// virtual start time is ahead because it used more than its share.
type account struct {
	name         string
	weight       float64
	virtualStart float64       // virtual start time of its next request
	backlog      time.Duration // expected slot time of the queued requests
	waiting      []*request    // queued, in order of arrival
	running      int
	congestion   congestionDetector
}

func (a *account) push(r *request) {
	a.waiting = append(a.waiting, r)
	a.backlog += r.expectedTime
}

func (a *account) remove(r *request) {
	i := slices.Index(a.waiting, r)
	a.waiting = slices.Delete(a.waiting, i, i+1)
	a.backlog -= r.expectedTime
}

// charge advances the account's virtual start time for slot time used.
func (a *account) charge(slotTime time.Duration, weight float64) {
	a.virtualStart += slotTime.Seconds() / weight
}
