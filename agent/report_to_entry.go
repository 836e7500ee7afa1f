package agent

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// reportToEntry sends one reportToEntry. False: the entry has left and is no longer reported
// to.
func (r *reporter) reportToEntry(entry *entryLoop) bool {
	r.mu.Lock()
	sentAt := clock.Now()
	r.updateLoad(sentAt)
	msg := r.router.Report(sentAt, entry.address)
	r.mu.Unlock()

	ack, ok := r.sendReport(entry.address, msg)
	if !ok {
		return r.handleFailure(entry)
	}
	r.handleAck(entry, sentAt, ack)
	return true
}

// updateLoad is called with the lock held.
func (r *reporter) updateLoad(now time.Time) {
	r.ownReport.Load = r.currentLoad()
	r.router.SetState(now, r.ownReport)
}

func (r *reporter) sendReport(addr string, msg *wire.Report) (*wire.ReportAck, bool) {
	ctx, cancel := context.WithTimeout(r.agent.tomb.Context(context.Background()), reportTimeout)
	defer cancel()
	reply, err := r.agent.pool.Call(ctx, addr, msg)
	ack, ok := reply.(*wire.ReportAck)
	return ack, err == nil && ok
}

// handleFailure backs off. An entry that was only named by another one and does not
// answer is dropped; it is named again when it is back.
func (r *reporter) handleFailure(entry *entryLoop) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	failures := r.router.HandleFailure(clock.Now(), entry.address)
	if entry.isSeed || failures < maxUnansweredReports {
		return true
	}
	r.router.RemoveEntry(entry.address)
	delete(r.entries, entry.address)
	return false
}

// maxUnansweredReports is how many reports in a row an entry leaves unanswered before it is
// dropped.
const maxUnansweredReports = 20

func (r *reporter) handleAck(entry *entryLoop, sentAt time.Time, ack *wire.ReportAck) {
	if ack.PlannerTimestamp.Epoch != 0 {
		r.agent.gangRunner.postEvent(gang.ReportAnswered{SentAt: sentAt, Renewed: ack.RenewedAttempts, Timestamp: ack.PlannerTimestamp})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	newEntries := r.router.HandleAck(clock.Now(), entry.address, ack)
	for _, addr := range newEntries {
		r.startEntryLoop(addr, false)
	}
	r.relayChanged()
}

// sendDeparture tells all entries, and the relay, that this incarnation has ended.
func (r *reporter) sendDeparture(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r.mu.Lock()
	if r.router == nil {
		r.mu.Unlock()
		return // nobody has heard of this incarnation
	}
	msg := r.router.DepartureReport()
	var wg sync.WaitGroup
	notify := func(addr string) {
		wg.Go(func() { _, _ = r.agent.pool.Call(ctx, addr, msg) }) // an entry that misses it finds out by silence
	}
	for addr := range r.entries {
		notify(addr)
	}
	if relay, ok := r.router.Relay(); ok {
		notify(relay.Address)
	}
	r.mu.Unlock()
	wg.Wait()
}
