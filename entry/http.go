package entry

import (
	"net/http"

	"goji.io"
	"goji.io/pat"

	"github.com/eelgrasshub/eelgrasshub/api"
)

// routes returns the callers' HTTP interface.
func (e *Entry) routes() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(api.PathHealthz), e.healthz)
	mux.HandleFunc(pat.Get(api.PathReadyz), e.readyz)
	mux.HandleFunc(pat.Get(api.PathStatus), e.status)
	mux.HandleFunc(pat.Post(api.RouteRequests), e.quickRequest)
	mux.HandleFunc(pat.Get(api.RouteRequests), e.quickRequest)
	mux.HandleFunc(pat.Post(api.RouteCancelJobs), e.cancelJobs)
	mux.HandleFunc(pat.Post(api.RouteJobs), e.submitJob)
	mux.HandleFunc(pat.Get(api.RouteJob), e.jobStatus)
	mux.HandleFunc(pat.Delete(api.RouteJob), e.cancelJob)
	mux.HandleFunc(pat.New("/*"), noRoute)
	return mux
}

func noRoute(w http.ResponseWriter, r *http.Request) {
	api.NewProblem(api.ReasonNoRoute, r.Method+" "+r.URL.Path+" is not part of the interface").WriteTo(w)
}

func (e *Entry) healthz(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// readyz tells the balancer whether to send new work here.
func (e *Entry) readyz(w http.ResponseWriter, _ *http.Request) {
	if p := e.notReady(); p != nil {
		p.WriteTo(w)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReady says why this entry should get no new work; nil when it should.
func (e *Entry) notReady() *api.Problem {
	if e.draining.Load() {
		return api.Busy(api.ReasonDraining, "this entry is leaving", comeBack)
	}
	select {
	case <-e.watcher.Ready():
		return nil
	default:
		return api.Busy(api.ReasonNotReady, "the configuration is not confirmed yet", comeBack)
	}
}
