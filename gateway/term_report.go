package gateway

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// handleReport processes an agent's report and fills in the reply.
func (t *term) handleReport(ctx context.Context, conn *wire.Conn, m *link.Report, reply *link.ReportReply) *link.ReportReply {
	type answer struct {
		result  engine.ReportAnswer
		written <-chan struct{}
	}
	a, ok := queryEngine(t, func(now time.Duration) answer {
		written := t.nextWrite()
		result := t.engine.Report(now, m.Report)
		if result.Standing == engine.ReportCurrent {
			t.setConn(m.Report.Worker.Agent, conn)
		}
		return answer{result, written}
	})
	if !ok || a.result.Standing == engine.ReportOutdated {
		return reply
	}
	result := a.result
	if result.EndsPending && len(m.Report.Ended) > 0 || result.GrantPending {
		result = t.awaitWrite(ctx, m.Report, result, a.written)
	}
	if !t.active() && !t.extendingGrants() {
		return reply
	}
	reply.Epoch = t.epoch
	reply.Attached = result.Attached
	reply.AckedEnds = result.AckedEnds
	reply.PollOften = result.PollOften
	reply.Generation = result.Generation
	if cordons, ok := t.g.currentConfig.Cordons(); ok {
		reply.Cordoned = cordons.Contains(m.Report.Worker.Zone)
		reply.CordonsRevision = cordons.Revision
	}
	return reply
}

// awaitWrite waits until what the answer to a report depends on is written, for at most reportWriteWait, and
// returns the answer then: a worker's reported ends, or that its lease is granted again.
func (t *term) awaitWrite(ctx context.Context, r engine.Report, result engine.ReportAnswer, written <-chan struct{}) engine.ReportAnswer {
	deadline := time.NewTimer(reportWriteWait)
	defer deadline.Stop()
	for {
		select {
		case <-written:
		case <-deadline.C:
			return result
		case <-ctx.Done():
			return result
		}
		type answer struct {
			result  engine.ReportAnswer
			written <-chan struct{}
		}
		a, ok := queryEngine(t, func(now time.Duration) answer {
			return answer{t.engine.AnswerAfterWrite(now, r, result), t.nextWrite()}
		})
		if !ok {
			return result
		}
		result, written = a.result, a.written
		if !result.EndsPending && !result.GrantPending {
			return result
		}
	}
}

// nextWrite returns a channel that is closed after the next write.
func (t *term) nextWrite() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writeDone
}

// connTo returns the connection on which an agent last reported, nil if there is none.
func (t *term) connTo(agent string) *wire.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conns[agent]
}

func (t *term) setConn(agent string, conn *wire.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[agent] = conn
}
