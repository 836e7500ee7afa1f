package entry

import (
	"net/http"
	"time"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/metrics"
)

// observeQuickRequest records the latency of a quick request by its outcome.
func (e *Entry) observeQuickRequest(q *quickRequest, o api.Outcome, latency time.Duration) {
	e.metrics.Observe(q.account, q.class, quickTiming(o), latency)
}

func quickTiming(o api.Outcome) metrics.Timing {
	switch o {
	case api.OutcomeDone:
		return metrics.QuickDone
	case api.OutcomeNotRun:
		return metrics.QuickNotRun
	default:
		return metrics.QuickUnknown
	}
}

// registerGauges registers the metrics that other components count.
func (e *Entry) registerGauges() {
	e.metrics.Gauge("store_calls_coordination", func() int64 { return e.coordinationClient.Calls().Total() })
	e.metrics.Gauge("store_calls_work", func() int64 { return e.workClient.Calls().Total() })
	e.metrics.Gauge("store_calls_refused", func() int64 { return e.coordinationClient.Calls().Refused + e.workClient.Calls().Refused })
	e.metrics.Gauge("store_replies_lost", func() int64 { return e.coordinationClient.Calls().Lost + e.workClient.Calls().Lost })
	e.metrics.Gauge("store_list_failures", func() int64 { return e.watcher.Counts().StoreFailures })
	e.metrics.Gauge("documents_written_back", func() int64 { return e.watcher.Counts().WriteBacks })
	e.metrics.Gauge("documents_refused", func() int64 { return e.documents.Counts().Refused })
	e.metrics.Gauge("connections", func() int64 { return int64(len(e.endpoint.Conns())) })
	callers := e.server.Counters()
	e.metrics.Gauge("caller_connections", callers.Connections.Load)
	e.metrics.Gauge("caller_connections_max", callers.MaxConnections.Load)
	e.metrics.Gauge("caller_connections_refused", callers.ConnectionsRefused.Load)
	e.metrics.Gauge("caller_connections_evicted", callers.ConnectionsEvicted.Load)
	e.metrics.Gauge("caller_request_bytes", callers.RequestBytes.Load)
	e.metrics.Gauge("caller_request_bytes_max", callers.MaxRequestBytes.Load)
	e.metrics.Gauge("caller_requests_overloaded", callers.Overloaded.Load)
	e.metrics.Gauge("members", func() int64 { return int64(e.members.count()) })
}

// MetricsHandler serves the metrics in the format of /debug/vars.
func (e *Entry) MetricsHandler() http.Handler {
	return e.metrics.Handler("eelgrasshub")
}
