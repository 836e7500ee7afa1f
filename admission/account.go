package admission

import (
	"slices"
	"time"
)

// account is what the queue keeps for a client account while it has work here
// or owes for work done.
type account struct {
	name         string
	weight       float64
	virtualStart float64 // virtual time at which its next request starts
	backlog      time.Duration
	waiting      []*request
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

// charge advances the account's virtual time by slot time used.
func (a *account) charge(slotTime time.Duration, weight float64) {
	a.virtualStart += slotTime.Seconds() / weight
}
