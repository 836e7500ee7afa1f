// Package admission decides at the agent which request its target runs next,
// and which is refused.
//
// A Queue is fair between client accounts by weight: it serves the account with
// the smallest virtual start time, and charges it the slot time that its
// requests use. It refuses at once, with the time to come back, work that
// cannot meet its deadline by the learned service times, work over the bounds,
// and, in lasting congestion, work that would wait longer than the target
// sojourn time.
//
// The package is pure: Step takes the time and one event and returns the
// actions to carry out. A Queue belongs to one goroutine.
//
// Every Arrived is answered by exactly one Run or Refuse, unless a Cancelled
// for it comes first.
package admission
