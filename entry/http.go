package entry

import (
	"net/http"
	"time"

	"goji.io"
	"goji.io/pat"

	"github.com/eelgrasshub/eelgrasshub/api"
)

// routes returns the handler of the callers' HTTP interface.
func (e *Entry) routes() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(api.PathHealthz), e.healthz)
	mux.HandleFunc(pat.Get(api.PathReadyz), e.readyz)
	mux.HandleFunc(pat.Get(api.PathStatus), e.status)
	for _, method := range []func(string) *pat.Pattern{pat.Get, pat.Post, pat.Put, pat.Patch, pat.Delete} {
		mux.HandleFunc(method(api.RouteRequests), e.serveQuickRequest)
	}
	mux.HandleFunc(pat.Post(api.RouteCancelJobs), e.cancelJobs)
	mux.HandleFunc(pat.Post(api.RouteJobs), e.submitJob)
	mux.HandleFunc(pat.Get(api.RouteReport), e.serviceReport)
	mux.HandleFunc(pat.Get(api.RouteJobReport), e.jobReport)
	mux.HandleFunc(pat.Get(api.RouteJob), e.jobStatus)
	mux.HandleFunc(pat.Delete(api.RouteJob), e.cancelJob)
	mux.HandleFunc(pat.New("/*"), noRoute)
	return mux
}

func noRoute(w http.ResponseWriter, r *http.Request) {
	api.NewProblem(api.ReasonNoRoute, r.Method+" "+r.URL.Path+" is not part of the interface").WriteResponse(w)
}

func (e *Entry) healthz(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// readyz tells the load balancer whether to send new work to this entry.
func (e *Entry) readyz(w http.ResponseWriter, _ *http.Request) {
	if p := e.checkReady(); p != nil {
		p.WriteResponse(w)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// checkReady returns the problem that keeps this entry from taking new work, or nil.
func (e *Entry) checkReady() *api.Problem {
	if e.draining.Load() {
		return api.NewRetryableProblem(api.ReasonDraining, "this entry is leaving", defaultRetryAfter)
	}
	if p := e.checkConfirmed(); p != nil {
		return p
	}
	if e.awaitsFirstAgent(time.Now()) {
		return api.NewRetryableProblem(api.ReasonNotReady, "no agent has announced itself here yet", defaultRetryAfter)
	}
	return nil
}

// firstAgentGrace is how long a new entry waits for its first agent. After that it is
// ready without one: there may be none, and jobs can still be accepted.
const firstAgentGrace = 5 * time.Second

// awaitsFirstAgent reports whether this entry has just started and knows no target. It
// would refuse all requests while the agents are still in the backoff before they connect
// again.
func (e *Entry) awaitsFirstAgent(now time.Time) bool {
	return now.Sub(e.startedAt) < firstAgentGrace && len(e.members.table.Snapshot().Services()) == 0
}
