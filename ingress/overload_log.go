package ingress

import (
	"time"

	"github.com/sirupsen/logrus"
)

// logOverload logs what was refused, at most once in overloadLogInterval.
func (s *Server) logOverload() {
	n := s.Counters()
	refused := n.ConnectionsRefused.Load() + n.ConnectionsEvicted.Load() + n.Overloaded.Load()
	if refused == s.loggedCount.Load() {
		return
	}
	now, last := int64(time.Since(s.startedAt)), s.loggedAt.Load()
	if last != 0 && now-last < int64(overloadLogInterval) || !s.loggedAt.CompareAndSwap(last, now) {
		return
	}
	s.loggedCount.Store(refused)
	s.log.WithFields(logrus.Fields{
		"connections":         n.Connections.Load(),
		"request_bytes":       n.RequestBytes.Load(),
		"connections_refused": n.ConnectionsRefused.Load(),
		"connections_evicted": n.ConnectionsEvicted.Load(),
		"overloaded":          n.Overloaded.Load(),
	}).Warn("clients exceed the limits")
}
