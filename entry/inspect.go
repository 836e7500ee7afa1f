package entry

import (
	"context"
	"encoding/json"
	"net/http"

	"goji.io/pat"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// serviceReport answers with the planner's report on a service; any entry can be asked.
func (e *Entry) serviceReport(w http.ResponseWriter, r *http.Request) {
	e.serveInspect(w, r, wire.InspectRequest{Service: pat.Param(r, "service")})
}

// jobReport answers with the reason why a job waits.
func (e *Entry) jobReport(w http.ResponseWriter, r *http.Request) {
	e.serveInspect(w, r, wire.InspectRequest{Service: pat.Param(r, "service"), Job: pat.Param(r, "id")})
}

func (e *Entry) serveInspect(w http.ResponseWriter, r *http.Request, m wire.InspectRequest) {
	if p := e.checkServiceKnown(m.Service); p != nil {
		p.WriteResponse(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	body, problem := e.queryPlanner(ctx, &m)
	if problem != nil {
		problem.WriteResponse(w)
		return
	}
	api.WriteJSON(w, http.StatusOK, body)
}

// checkServiceKnown returns the problem that prevents a report on the service, or nil.
func (e *Entry) checkServiceKnown(service string) *api.Problem {
	if _, ok := e.documents.Current(service); ok {
		return nil
	}
	if p := e.checkConfirmed(); p != nil {
		return p
	}
	return &api.Problem{Reason: api.ReasonUnknownService, Field: "service", Detail: "no document in force names the service " + service}
}

// queryPlanner asks this entry's planner or the entry that leads the service.
func (e *Entry) queryPlanner(ctx context.Context, m *wire.InspectRequest) (json.RawMessage, *api.Problem) {
	if e.elections.planner(m.Service) != nil {
		return e.inspectLocal(ctx, m)
	}
	peer, _, ok := e.registry.leader(m.Service)
	if !ok {
		return nil, noPlanner(m.Service, "no entry has registered the duty; entry "+e.cfg.ID+" was asked")
	}
	got, err := e.agents.callEntry(ctx, peer.Address, m)
	if err != nil {
		return nil, noPlanner(m.Service, "entry "+peer.ID+" at "+peer.Address+", which holds the duty, does not answer entry "+e.cfg.ID+": "+err.Error())
	}
	reply, ok := got.(*wire.InspectReply)
	if !ok {
		return nil, noPlanner(m.Service, "entry "+peer.ID+" gave another answer")
	}
	return reply.Report, decodeProblem(reply)
}

func decodeProblem(reply *wire.InspectReply) *api.Problem {
	if len(reply.Problem) == 0 {
		return nil
	}
	p := &api.Problem{}
	if err := json.Unmarshal(reply.Problem, p); err != nil {
		return api.NewProblem(api.ReasonInternal, "the planner's entry gave no readable answer")
	}
	return p
}

// noPlanner returns the problem for a service whose planner can't be asked. Another entry
// takes over from a failed one within sessionTTL, so the caller is to retry after that.
func noPlanner(service, detail string) *api.Problem {
	return api.NewRetryableProblem(api.ReasonNoPlanner, "no planner of "+service+" answers: "+detail, sessionTTL)
}

// answerInspect answers queryPlanner of another entry. It does not forward: two entries
// that each take the other for the leader would forward the request in a loop.
func (e *Entry) answerInspect(ctx context.Context, m *wire.InspectRequest) *wire.InspectReply {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	body, problem := e.inspectLocal(ctx, m)
	if problem == nil {
		return &wire.InspectReply{Report: body}
	}
	data, err := json.Marshal(problem)
	if err != nil {
		panic("entry: problem can't be encoded: " + err.Error())
	}
	return &wire.InspectReply{Problem: data}
}

func (e *Entry) inspectLocal(ctx context.Context, m *wire.InspectRequest) (json.RawMessage, *api.Problem) {
	var v any
	var problem *api.Problem
	if m.Job == "" {
		v, problem = e.reportLocal(ctx, m.Service)
	} else {
		v, problem = e.explainLocal(ctx, m.Service, m.Job)
	}
	if problem != nil {
		return nil, problem
	}
	body, err := json.Marshal(v)
	if err != nil {
		return nil, api.NewProblem(api.ReasonInternal, "answer can't be encoded")
	}
	return body, nil
}

// plannerInfo describes this entry's term as leader of the service.
func (e *Entry) plannerInfo(service string) api.ReportPlanner {
	out := api.ReportPlanner{Entry: e.cfg.ID, Region: e.cfg.Region}
	for _, l := range e.elections.leaderships() {
		if l.Service == service {
			out.Epoch, out.Since = l.Epoch, l.Since
		}
	}
	if h, ok := e.documents.Current(service); ok {
		out.Generation = h.Version.Generation
	}
	return out
}
