package gateway

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// report handles an agent's report and fills in the reply.
func (t *term) report(ctx context.Context, from *wire.Conn, m *link.Report, reply *link.ReportReply) *link.ReportReply {
	verdicts := make(chan engine.Verdict, 1)
	var recorded <-chan struct{}
	ok := t.do(func(now time.Duration) {
		t.remember(m.Report.Worker.Agent, from)
		t.mu.Lock()
		recorded = t.recorded
		t.mu.Unlock()
		verdicts <- t.engine.Report(now, m.Report)
	})
	if !ok {
		return reply
	}
	var v engine.Verdict
	select {
	case v = <-verdicts:
	case <-ctx.Done():
		return reply
	}
	if v.Waiting && len(m.Report.Ended) > 0 {
		v.Seen = t.awaitRecord(ctx, m.Report.Worker.ID, v, recorded)
	}
	if !t.active() && !t.extending() {
		return reply
	}
	reply.Epoch = t.epoch
	reply.Attached = v.Attached
	reply.Seen = v.Seen
	return reply
}

// awaitRecord waits until the ends of a worker are on record, and returns up to which
// they are.
func (t *term) awaitRecord(ctx context.Context, id engine.WorkerID, v engine.Verdict, recorded <-chan struct{}) int64 {
	deadline := time.NewTimer(recordWait)
	defer deadline.Stop()
	for {
		select {
		case <-recorded:
		case <-deadline.C:
			return v.Seen
		case <-ctx.Done():
			return v.Seen
		}
		type answer struct {
			seen    int64
			waiting bool
		}
		answers := make(chan answer, 1)
		ok := t.do(func(time.Duration) {
			seen, waiting := t.engine.Seen(id)
			t.mu.Lock()
			recorded = t.recorded
			t.mu.Unlock()
			answers <- answer{seen, waiting}
		})
		if !ok {
			return v.Seen
		}
		a := <-answers
		v.Seen = a.seen
		if !a.waiting {
			return a.seen
		}
	}
}

func (t *term) remember(agent string, conn *wire.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[agent] = conn
}
