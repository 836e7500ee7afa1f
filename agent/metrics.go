package agent

import (
	"net/http"

	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// outcomeTiming returns the timing metric for an attempt with the given outcome.
func outcomeTiming(o wire.Outcome) metrics.Timing {
	switch o {
	case wire.OutcomeDone:
		return metrics.QuickDone
	case wire.OutcomeRefused:
		return metrics.QuickNotRun
	default:
		return metrics.QuickUnknown
	}
}

// registerGauges registers gauges for values that other components maintain.
func (a *Agent) registerGauges() {
	a.metrics.Gauge("running", func() int64 {
		running, _ := a.quickExecutor.gate.depth()
		return int64(running)
	})
	a.metrics.Gauge("queued", func() int64 {
		_, queued := a.quickExecutor.gate.depth()
		return int64(queued)
	})
	a.metrics.Gauge("attempts_remembered", func() int64 { return int64(a.quickExecutor.attemptCount()) })
	a.metrics.Gauge("relayed_agents", func() int64 { return int64(a.reporter.memberCount()) })
	a.metrics.Gauge("connections", func() int64 { return int64(len(a.endpoint.Conns())) })
}

// MetricsHandler serves the metrics in the format of /debug/vars.
func (a *Agent) MetricsHandler() http.Handler {
	return a.metrics.Handler("eelgrasshub")
}
