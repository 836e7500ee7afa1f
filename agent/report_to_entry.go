package agent

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// report sends one report. False: the entry has left and is no longer reported
// to.
func (r *reports) report(link *entryLink) bool {
	r.mu.Lock()
	sent := clock.Now()
	r.freshLoad(sent)
	msg := r.announcer.Report(sent, link.addr)
	r.mu.Unlock()

	ack, ok := r.call(link.addr, msg)
	if !ok {
		return r.failed(link)
	}
	r.acked(link, sent, ack)
	return true
}

// freshLoad is called with the lock held.
func (r *reports) freshLoad(now time.Time) {
	r.state.Load = r.load()
	r.announcer.SetState(now, r.state)
}

func (r *reports) call(addr string, msg *wire.Report) (*wire.ReportAck, bool) {
	ctx, cancel := context.WithTimeout(r.a.t.Context(context.Background()), reportTimeout)
	defer cancel()
	got, err := r.a.pool.Call(ctx, addr, msg)
	ack, ok := got.(*wire.ReportAck)
	return ack, err == nil && ok
}

// failed backs off. An entry that was only named by another one and does not
// answer is dropped; it is named again when it is back.
func (r *reports) failed(link *entryLink) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	failures := r.announcer.HandleFailure(clock.Now(), link.addr)
	if link.seed || failures < dropAfter {
		return true
	}
	r.announcer.RemoveEntry(link.addr)
	delete(r.entries, link.addr)
	return false
}

// dropAfter is how many reports in a row an entry leaves unanswered before it is
// dropped.
const dropAfter = 20

func (r *reports) acked(link *entryLink, sent time.Time, ack *wire.ReportAck) {
	if ack.PlannerTimestamp.Epoch != 0 {
		r.a.gangs.event(gang.ReportAnswered{SentAt: sent, Renewed: ack.RenewedAttempts, Timestamp: ack.PlannerTimestamp})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	added := r.announcer.HandleAck(clock.Now(), link.addr, ack)
	for _, addr := range added {
		r.begin(addr, false)
	}
	r.relayMoved()
}

// goodbye tells all entries, and the relay, that this incarnation has ended.
func (r *reports) goodbye(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r.mu.Lock()
	if r.announcer == nil {
		r.mu.Unlock()
		return // nobody has heard of this incarnation
	}
	msg := r.announcer.DepartureReport()
	var wg sync.WaitGroup
	tell := func(addr string) {
		wg.Go(func() { _, _ = r.a.pool.Call(ctx, addr, msg) }) // an entry that misses it finds out by silence
	}
	for addr := range r.entries {
		tell(addr)
	}
	if relay, ok := r.announcer.Relay(); ok {
		tell(relay.Address)
	}
	r.mu.Unlock()
	wg.Wait()
}
