package admission

import "slices"

// maxDebtors bounds the accounts that are kept only because they used more slot
// time than their share. The one that owes least is dropped first.
const maxDebtors = 1024

// account returns the client account's state. A returning account starts at the
// present virtual time at the earliest: time without work earns nothing.
func (q *Queue) account(ev Arrived) *account {
	a := q.byName[ev.Account]
	if a == nil {
		a = &account{name: ev.Account}
		q.byName[a.name] = a
		q.accounts = append(q.accounts, a)
		q.bound()
	}
	if len(a.waiting) == 0 {
		a.start = max(a.start, q.virtual)
	}
	a.weight = q.weight(ev)
	return a
}

func (q *Queue) weight(ev Arrived) float64 {
	if w, ok := q.weights[ev.Account]; ok {
		return float64(max(1, w))
	}
	return float64(max(1, ev.Weight))
}

func (q *Queue) reweigh(weights map[string]int) {
	q.weights = weights
	for _, a := range q.accounts {
		if w, ok := weights[a.name]; ok {
			a.weight = float64(max(1, w))
		}
	}
}

// release forgets an account that has no work here and owes nothing.
func (q *Queue) release(a *account) {
	if len(a.waiting) == 0 && a.running == 0 && a.start <= q.virtual {
		q.forget(a)
	}
}

func (q *Queue) forget(a *account) {
	delete(q.byName, a.name)
	q.accounts = slices.Delete(q.accounts, slices.Index(q.accounts, a), slices.Index(q.accounts, a)+1)
}

// bound drops accounts without work while too many are kept.
func (q *Queue) bound() {
	if len(q.accounts) <= maxDebtors+q.options.MaxQueued+q.options.Slots {
		return
	}
	var least *account
	newest := q.accounts[len(q.accounts)-1]
	for _, a := range q.accounts {
		idle := len(a.waiting) == 0 && a.running == 0 && a != newest
		if idle && (least == nil || a.start < least.start) {
			least = a
		}
	}
	if least != nil {
		q.forget(least)
	}
}
