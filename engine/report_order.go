package engine

import "time"

// reportOrder is the order of the reports of one agent.
type reportOrder struct {
	// last is the origin of the newest report.
	last ReportOrigin
	// minClockOffset is the smallest difference between the engine's clock and the agent's at the
	// arrival of a report.
	minClockOffset time.Duration
}

// ReportRef identifies the report that led to a decision. It is zero if no report did.
type ReportRef struct {
	Origin ReportOrigin
	// Delay is how much longer the report took than the agent's fastest one.
	Delay time.Duration
	// Overtaken means that a later report of the same process was handled before.
	Overtaken bool
}

// ReportOvertaken reports that an agent's report was handled after a later one.
type ReportOvertaken struct {
	Agent  string
	Worker WorkerID
	Report ReportRef
}

func (ReportOvertaken) isAction() {}

// beginReport records that r is handled until endReport, and returns its order.
func (e *Engine) beginReport(now time.Duration, r *Report) ReportRef {
	e.handling = e.orderReport(now, r)
	return e.handling
}

func (e *Engine) endReport() { e.handling = ReportRef{} }

func (e *Engine) orderReport(now time.Duration, r *Report) ReportRef {
	if r.Origin.Process == 0 {
		return ReportRef{}
	}
	offset := now - r.Origin.BuiltAt
	order := e.reportOrders[r.Worker.Agent]
	if order == nil || order.last.Process != r.Origin.Process {
		e.reportOrders[r.Worker.Agent] = &reportOrder{last: r.Origin, minClockOffset: offset}
		return ReportRef{Origin: r.Origin}
	}
	order.minClockOffset = min(order.minClockOffset, offset)
	ref := ReportRef{Origin: r.Origin, Delay: offset - order.minClockOffset, Overtaken: r.Origin.Sequence <= order.last.Sequence}
	if !ref.Overtaken {
		order.last = r.Origin
	}
	return ref
}
