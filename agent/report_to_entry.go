package agent

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// reportToEntry sends one report. It returns false if the entry was removed and is no
// longer reported to.
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

// updateLoad puts the current load into the agent's state. The caller holds the lock.
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

// handleFailure records an unanswered report and reports whether to keep reporting to the
// entry. An entry that is not a seed is removed after maxUnansweredReports; other
// entries name it again when it is back.
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

// maxUnansweredReports is the number of consecutive unanswered reports after which an
// entry that is not a seed is removed.
const maxUnansweredReports = 20

func (r *reporter) handleAck(entry *entryLoop, sentAt time.Time, ack *wire.ReportAck) {
	if ack.PlannerTimestamp.Epoch != 0 {
		r.agent.gangRunner.postEvent(gang.ReportAnswered{SentAt: sentAt, Renewed: ack.RenewedAttempts, Timestamp: ack.PlannerTimestamp})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteNewer(ack)
	newEntries := r.router.HandleAck(clock.Now(), entry.address, ack)
	for _, addr := range newEntries {
		r.startEntryLoop(addr, false)
	}
	r.updateRelay()
}

// sendDeparture notifies all entries and the relay that this incarnation has ended.
func (r *reporter) sendDeparture(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r.mu.Lock()
	if r.router == nil {
		r.mu.Unlock()
		return // this incarnation has never reported
	}
	msg := r.router.DepartureReport()
	var wg sync.WaitGroup
	notify := func(addr string) {
		wg.Go(func() { _, _ = r.agent.pool.Call(ctx, addr, msg) }) // best effort: an entry that misses it detects the lack of reports
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
