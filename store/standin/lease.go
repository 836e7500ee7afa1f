package standin

import (
	"maps"
	"time"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

// lease is a lease with the keys that are deleted when it ends.
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

func (s *state) grant(now time.Time, req v3json.GrantRequest) (v3json.LeaseResponse, *apiError) {
	if s.leases[req.ID] != nil {
		return v3json.LeaseResponse{}, newAPIError(v3json.CodeFailedPrecondition, v3json.MsgLeaseExists)
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

func (s *state) revoke(id int64) (v3json.LeaseResponse, *apiError) {
	l := s.leases[id]
	if l == nil {
		return v3json.LeaseResponse{}, newAPIError(v3json.CodeNotFound, v3json.MsgLeaseNotFound)
	}
	s.removeLease(id, l)
	return v3json.LeaseResponse{Header: s.header()}, nil
}

func (s *state) removeLease(id int64, l *lease) {
	delete(s.leases, id)
	if len(l.keys) == 0 {
		return
	}
	rev := s.revision + 1
	for key := range l.keys {
		s.deleteKey(rev, key)
	}
	s.revision = rev
}

// expireLeases removes the leases that have expired, with their keys.
func (s *state) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.removeLease(id, l)
		}
	}
}
