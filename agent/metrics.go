package agent

import (
	"net/http"

	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// quickTiming is the timing of an attempt that ended so.
func quickTiming(o wire.Outcome) metrics.Timing {
	switch o {
	case wire.OutcomeDone:
		return metrics.QuickDone
	case wire.OutcomeRefused:
		return metrics.QuickNotRun
	default:
		return metrics.QuickUnknown
	}
}

// gauges shows what other parts count by themselves.
func (a *Agent) gauges() {
	a.metrics.Gauge("running", func() int64 {
		running, _ := a.quick.gate.depth()
		return int64(running)
	})
	a.metrics.Gauge("queued", func() int64 {
		_, queued := a.quick.gate.depth()
		return int64(queued)
	})
	a.metrics.Gauge("attempts_remembered", func() int64 { return int64(a.quick.remembered()) })
	a.metrics.Gauge("relayed_agents", func() int64 { return int64(a.reports.members()) })
	a.metrics.Gauge("connections", func() int64 { return int64(len(a.ep.Conns())) })
}

// MetricsHandler serves the metrics in the form of /debug/vars.
func (a *Agent) MetricsHandler() http.Handler {
	return a.metrics.Handler("eelgrasshub")
}
