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
	type answer struct {
		verdict  engine.ReportAnswer
		recorded <-chan struct{}
	}
	a, ok := ask(t, func(now time.Duration) answer {
		t.remember(m.Report.Worker.Agent, from)
		recorded := t.nextRecord()
		return answer{t.engine.Report(now, m.Report), recorded}
	})
	if !ok {
		return reply
	}
	v := a.verdict
	if v.EndsPending && len(m.Report.Ended) > 0 {
		v.AckedEnds = t.awaitRecord(ctx, m.Report.Worker.ID, v, a.recorded)
	}
	if !t.active() && !t.extending() {
		return reply
	}
	reply.Epoch = t.epoch
	reply.Attached = v.Attached
	reply.Seen = v.AckedEnds
	reply.Closely = v.PollOften
	reply.Turn = v.Generation
	if cordons, ok := t.g.inForce.Cordons(); ok {
		reply.Cordoned = cordons.Contains(m.Report.Worker.Zone)
		reply.CordonsAt = cordons.Revision
	}
	return reply
}

// awaitRecord waits until the ends of a worker are on record, and returns up to which
// they are.
func (t *term) awaitRecord(ctx context.Context, id engine.WorkerID, v engine.ReportAnswer, recorded <-chan struct{}) int64 {
	deadline := time.NewTimer(recordWait)
	defer deadline.Stop()
	for {
		select {
		case <-recorded:
		case <-deadline.C:
			return v.AckedEnds
		case <-ctx.Done():
			return v.AckedEnds
		}
		type answer struct {
			seen     int64
			waiting  bool
			recorded <-chan struct{}
		}
		a, ok := ask(t, func(time.Duration) answer {
			seen, waiting := t.engine.AckedEnds(id)
			return answer{seen, waiting, t.nextRecord()}
		})
		if !ok {
			return v.AckedEnds
		}
		v.AckedEnds, recorded = a.seen, a.recorded
		if !a.waiting {
			return v.AckedEnds
		}
	}
}

// nextRecord returns a channel that is closed after the next write.
func (t *term) nextRecord() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recorded
}

func (t *term) remember(agent string, conn *wire.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[agent] = conn
}
