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
	sent := clock.Now()
	r.mu.Lock()
	r.state.Load = r.load()
	r.reporter.Set(time.Now(), r.state)
	msg := r.reporter.Report(time.Now(), link.addr)
	msg.Stamp = r.stamp
	link.sent = time.Now()
	r.mu.Unlock()

	ctx, cancel := context.WithTimeout(r.a.t.Context(context.Background()), reportTimeout)
	defer cancel()
	got, err := r.a.pool.Call(ctx, link.addr, &wire.Report{Batch: []wire.AgentReport{msg}, Known: link.known})
	ack, ok := got.(*wire.ReportAck)
	if err != nil || !ok {
		return r.failed(link)
	}
	r.acked(link, sent, msg.Sequence, ack)
	return true
}

// failed backs off. An entry that was only named by another one and does not
// answer is dropped; it is named again when it is back.
func (r *reports) failed(link *entryLink) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reporter.Failed(time.Now(), link.addr)
	if link.seed || r.reporter.Failures(link.addr) < dropAfter {
		return true
	}
	r.reporter.Forget(link.addr)
	delete(r.entries, link.addr)
	return false
}

// dropAfter is how many reports in a row an entry leaves unanswered before it is
// dropped.
const dropAfter = 20

func (r *reports) acked(link *entryLink, sent time.Time, seq uint64, ack *wire.ReportAck) {
	if ack.Stamp.Epoch != 0 {
		r.a.gangs.event(gang.Contact{At: sent, Whole: ack.Whole, Stamp: ack.Stamp})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reporter.Acked(time.Now(), link.addr, seq, ack)
	if ack.Digest == link.known {
		return
	}
	link.known = ack.Digest
	for _, e := range ack.Entries {
		r.add(e.Address, false)
	}
}

// goodbye tells all entries that this incarnation has ended.
func (r *reports) goodbye(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r.mu.Lock()
	msg := &wire.Report{Batch: []wire.AgentReport{r.reporter.Goodbye()}}
	var wg sync.WaitGroup
	for addr := range r.entries {
		wg.Go(func() { _, _ = r.a.pool.Call(ctx, addr, msg) }) // an entry that misses it finds out by silence
	}
	r.mu.Unlock()
	wg.Wait()
}
