package ingress

import (
	"time"

	"github.com/sirupsen/logrus"
)

// overloadLogInterval is the minimum time between two log lines about overload.
const overloadLogInterval = 30 * time.Second

// logOverload logs what was refused, at most once in overloadLogInterval.
func (s *Server) logOverload() {
	n := s.Counters()
	refused := n.ConnectionsRefused.Load() + n.ConnectionsEvicted.Load() + n.Overloaded.Load()
	if refused == s.loggedCount.Load() {
		return
	}
	s.overloadLog.Do(func() {
		s.loggedCount.Store(refused)
		s.log.WithFields(logrus.Fields{
			"connections":         n.Connections.Load(),
			"request_bytes":       n.RequestBytes.Load(),
			"connections_refused": n.ConnectionsRefused.Load(),
			"connections_evicted": n.ConnectionsEvicted.Load(),
			"overloaded":          n.Overloaded.Load(),
		}).Warn("clients exceed the limits")
	})
}
