package agent

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// relayLink is the loop that reports to the relay of the rack.
type relayLink struct {
	kick chan struct{}
	now  wire.RelayInfo // the one that loops and log know of
}

// relayLoop reports to the relay as long as there is one.
func (r *reports) relayLoop() error {
	return r.repeat(tickEvery, r.relay.kick, r.untilRelayDue, func() bool {
		r.reportToRelay()
		return true
	})
}

func (r *reports) untilRelayDue() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	due, ok := r.announcer.RelayDue(now)
	if !ok {
		return tickEvery
	}
	return due.Sub(now)
}

func (r *reports) reportToRelay() {
	r.mu.Lock()
	sent := clock.Now()
	r.freshLoad(sent)
	to, ok := r.announcer.Relay()
	if !ok {
		r.mu.Unlock()
		return
	}
	msg := r.announcer.ReportToRelay(sent)
	r.mu.Unlock()

	ack, answered := r.call(to.Address, msg)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !answered {
		r.announcer.HandleRelayFailure(clock.Now(), to)
		r.a.metrics.Add(metrics.RelaysFailed, 1)
		r.relayMoved()
		return
	}
	for _, addr := range r.announcer.HandleRelayAck(clock.Now(), to, ack) {
		r.begin(addr, false)
	}
	if ack.Entries != nil {
		r.wake() // the relay may no longer reach one
	}
	r.relayMoved()
}

// relayMoved lets the loops know when the relay is another one than before. It
// is called with the lock held.
func (r *reports) relayMoved() {
	now, _ := r.announcer.Relay()
	before := r.relay.now
	if now == before {
		return
	}
	r.relay.now = now
	r.wake()
	if before.Address != "" && before.Address != now.Address {
		r.release(before.Address)
	}
	log := r.a.log.WithField("relay", now.ID)
	if now.ID == "" {
		log = r.a.log.WithField("left", before.ID)
	}
	log.Info("way of reports changed")
}
