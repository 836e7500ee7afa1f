package standin

import (
	"maps"
	"time"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

// lease is one lease and the keys that end with it.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

func (l *lease) clone() *lease {
	c := *l
	c.keys = maps.Clone(l.keys)
	return &c
}

func (s *state) grant(now time.Time, req v3json.GrantRequest) (v3json.LeaseResponse, *failure) {
	if s.leases[req.ID] != nil {
		return v3json.LeaseResponse{}, refusal(v3json.CodeFailedPrecondition, v3json.MsgLeaseExists)
	}
	ttl := time.Duration(req.TTL) * time.Second
	s.leases[req.ID] = &lease{ttl: ttl, expires: now.Add(ttl), keys: make(map[string]struct{})}
	return v3json.LeaseResponse{Header: s.header(), ID: req.ID, TTL: req.TTL}, nil
}

func (s *state) keepAlive(now time.Time, id int64) v3json.LeaseResponse {
	res := v3json.LeaseResponse{Header: s.header(), ID: id}
	if l := s.leases[id]; l != nil {
		l.expires = now.Add(l.ttl)
		res.TTL = int64(l.ttl / time.Second)
	}
	return res
}

func (s *state) revoke(id int64) (v3json.LeaseResponse, *failure) {
	l := s.leases[id]
	if l == nil {
		return v3json.LeaseResponse{}, refusal(v3json.CodeNotFound, v3json.MsgLeaseNotFound)
	}
	s.drop(id, l)
	return v3json.LeaseResponse{Header: s.header()}, nil
}

func (s *state) drop(id int64, l *lease) {
	delete(s.leases, id)
	if len(l.keys) == 0 {
		return
	}
	rev := s.rev + 1
	for key := range l.keys {
		s.remove(rev, key)
	}
	s.rev = rev
}

// expire ends the leases whose time is over.
func (s *state) expire(now time.Time) {
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.drop(id, l)
		}
	}
}
