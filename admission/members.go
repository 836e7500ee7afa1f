package admission

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxIdle bounds the accounts that are kept although they have no work here,
// because they used more slot time than their share. The one idle for longest
// is dropped first; it starts afresh, at the present virtual time.
const maxIdle = 1024

// members holds the client accounts. Its size is bounded by the requests at the
// agent and maxIdle.
type members struct {
	busy    map[string]*account              // with requests queued or running
	idle    *simplelru.LRU[string, *account] // without, but with a later start than others
	waiting []*account                       // with requests queued, in order of arrival, so that every run settles ties alike
}

func newMembers() members {
	idle, err := simplelru.NewLRU[string, *account](maxIdle, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return members{busy: make(map[string]*account), idle: idle}
}

// take returns the account and counts it as busy until release.
func (m *members) take(name string) *account {
	if a := m.busy[name]; a != nil {
		return a
	}
	a, ok := m.idle.Peek(name)
	if ok {
		m.idle.Remove(name)
	} else {
		a = &account{name: name}
	}
	m.busy[name] = a
	return a
}

// release ends an account's being busy if it has no work here.
func (m *members) release(a *account, virtual float64) {
	if len(a.waiting) > 0 || a.running > 0 {
		return
	}
	delete(m.busy, a.name)
	if a.start > virtual {
		m.idle.Add(a.name, a)
	}
}

func (m *members) push(a *account, r *request) {
	if len(a.waiting) == 0 {
		m.waiting = append(m.waiting, a)
	}
	a.push(r)
}

func (m *members) drop(a *account, r *request) {
	a.drop(r)
	if len(a.waiting) == 0 {
		i := slices.Index(m.waiting, a)
		m.waiting = slices.Delete(m.waiting, i, i+1)
	}
}

// next returns the account whose queued request starts first in virtual time.
func (m *members) next() *account {
	first := m.waiting[0]
	for _, a := range m.waiting[1:] {
		if a.start < first.start {
			first = a
		}
	}
	return first
}
