package admission

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxIdleAccounts bounds the accounts without requests here that are kept because
// they used more slot time than their share. The one idle for longest is evicted
// first; when it returns it starts at the current virtual time.
const maxIdleAccounts = 1024

// accountSet holds the client accounts. Its size is bounded by the number of
// requests at the agent plus maxIdleAccounts.
type accountSet struct {
	active  map[string]*account              // with requests queued or running
	idle    *simplelru.LRU[string, *account] // without requests, but with a virtual start time that is still ahead
	waiting []*account                       // with requests queued; in order of arrival, which makes ties deterministic
}

func newAccountSet() accountSet {
	idle, err := simplelru.NewLRU[string, *account](maxIdleAccounts, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return accountSet{active: make(map[string]*account), idle: idle}
}

// activate returns the account and keeps it in active until releaseIfIdle.
func (s *accountSet) activate(name string) *account {
	if a := s.active[name]; a != nil {
		return a
	}
	a, ok := s.idle.Peek(name)
	if ok {
		s.idle.Remove(name)
	} else {
		a = &account{name: name}
	}
	s.active[name] = a
	return a
}

// releaseIfIdle removes an account without requests from active, and keeps it in
// idle if its virtual start time is still ahead.
func (s *accountSet) releaseIfIdle(a *account, virtualTime float64) {
	if len(a.waiting) > 0 || a.running > 0 {
		return
	}
	delete(s.active, a.name)
	if a.virtualStart > virtualTime {
		s.idle.Add(a.name, a)
	}
}

func (s *accountSet) push(a *account, r *request) {
	if len(a.waiting) == 0 {
		s.waiting = append(s.waiting, a)
	}
	a.push(r)
}

func (s *accountSet) remove(a *account, r *request) {
	a.remove(r)
	if len(a.waiting) == 0 {
		i := slices.Index(s.waiting, a)
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
}

// nextToServe returns the account with the smallest virtual start time among those
// with queued requests. There must be one.
func (s *accountSet) nextToServe() *account {
	first := s.waiting[0]
	for _, a := range s.waiting[1:] {
		if a.virtualStart < first.virtualStart {
			first = a
		}
	}
	return first
}
