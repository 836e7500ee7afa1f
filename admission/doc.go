// Package admission decides at the agent which request its target runs next and
// which requests are refused.
//
// A Queue is a weighted fair queue over client accounts (start-time fair
// queueing): it serves the account with the smallest virtual start time and
// charges it the slot time that its requests use, divided by its weight. It
// refuses at once requests that are not expected to meet their deadline given
// the observed service times, requests over the queue bounds and, in lasting
// congestion, requests that would wait longer than the target sojourn time.
//
// The package does no I/O and reads no clock: Step takes the time and one
// event and returns the actions to carry out. A Queue belongs to one goroutine.
//
// Every Arrived is answered by exactly one Run or Refuse, unless a Cancelled
// for it comes first.
package admission
