package agent

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// relayLoop is the state of the loop that reports to the rack's relay.
type relayLoop struct {
	wake    chan struct{}
	current wire.RelayInfo // the relay at the last call of updateRelay
}

// runRelayLoop reports to the relay whenever there is one, until the agent stops.
func (r *reporter) runRelayLoop() error {
	return r.runReportLoop(tickPeriod, r.relayLoop.wake, r.untilRelayDue, func() bool {
		r.reportToRelay()
		return true
	})
}

func (r *reporter) untilRelayDue() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	due, ok := r.router.RelayDue(now)
	if !ok {
		return tickPeriod
	}
	return due.Sub(now)
}

func (r *reporter) reportToRelay() {
	r.mu.Lock()
	sentAt := clock.Now()
	r.updateLoad(sentAt)
	relay, ok := r.router.Relay()
	if !ok {
		r.mu.Unlock()
		return
	}
	msg := r.router.ReportToRelay(sentAt)
	r.mu.Unlock()

	ack, answered := r.sendReport(relay.Address, msg)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !answered {
		r.router.HandleRelayFailure(clock.Now(), relay)
		r.agent.metrics.Add(metrics.RelaysFailed, 1)
		r.updateRelay()
		return
	}
	r.noteNewer(ack)
	for _, addr := range r.router.HandleRelayAck(clock.Now(), relay, ack) {
		r.startEntryLoop(addr, false)
	}
	if ack.Entries != nil {
		r.wakeAll() // an entry may no longer be reached by the relay
	}
	r.updateRelay()
}

// updateRelay wakes all loops if the agent's relay has changed, and closes the
// connection to the previous one. The caller holds the lock.
func (r *reporter) updateRelay() {
	current, _ := r.router.Relay()
	previous := r.relayLoop.current
	if current == previous {
		return
	}
	r.relayLoop.current = current
	r.wakeAll()
	if previous.Address != "" && previous.Address != current.Address {
		r.drainConnection(previous.Address)
	}
	log := r.agent.log.WithField("relay", current.ID)
	if current.ID == "" {
		log = r.agent.log.WithField("left", previous.ID)
	}
	log.Info("report route changed")
}
