package entry

import (
	"context"
	"encoding/json"
	"net/http"

	"goji.io/pat"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// serviceReport answers what the planner of a service knows, from whichever entry
// is asked.
func (e *Entry) serviceReport(w http.ResponseWriter, r *http.Request) {
	e.inspect(w, r, wire.InspectRequest{Service: pat.Param(r, "service")})
}

// jobReport answers why a job waits.
func (e *Entry) jobReport(w http.ResponseWriter, r *http.Request) {
	e.inspect(w, r, wire.InspectRequest{Service: pat.Param(r, "service"), Job: pat.Param(r, "id")})
}

func (e *Entry) inspect(w http.ResponseWriter, r *http.Request, m wire.InspectRequest) {
	if p := e.inspectable(m.Service); p != nil {
		p.WriteTo(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), storeWait)
	defer cancel()
	body, problem := e.inspected(ctx, &m)
	if problem != nil {
		problem.WriteTo(w)
		return
	}
	api.WriteJSON(w, http.StatusOK, body)
}

// inspectable says why no report of a service can be had here, or nil.
func (e *Entry) inspectable(service string) *api.Problem {
	if _, ok := e.docs.Current(service); ok {
		return nil
	}
	if p := e.unconfirmed(); p != nil {
		return p
	}
	return &api.Problem{Reason: api.ReasonUnknownService, Field: "service", Detail: "no document in force names the service " + service}
}

// inspected asks this entry's planner, or the entry that holds the duty.
func (e *Entry) inspected(ctx context.Context, m *wire.InspectRequest) (json.RawMessage, *api.Problem) {
	if e.duties.planner(m.Service) != nil {
		return e.inspectHere(ctx, m)
	}
	peer, _, ok := e.registry.planner(m.Service)
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
	return reply.Report, problemOf(reply)
}

func problemOf(reply *wire.InspectReply) *api.Problem {
	if len(reply.Problem) == 0 {
		return nil
	}
	p := &api.Problem{}
	if err := json.Unmarshal(reply.Problem, p); err != nil {
		return api.NewProblem(api.ReasonInternal, "the planner's entry gave no readable answer")
	}
	return p
}

// noPlanner says whom was asked and when to try again: within sessionTTL another
// entry takes over from one that is gone.
func noPlanner(service, detail string) *api.Problem {
	return api.Busy(api.ReasonNoPlanner, "no planner of "+service+" answers: "+detail, sessionTTL)
}

// answerInspect serves inspected of another entry. It does not forward: two
// entries that each believe in the other's duty would send it in circles.
func (e *Entry) answerInspect(ctx context.Context, m *wire.InspectRequest) *wire.InspectReply {
	ctx, cancel := context.WithTimeout(ctx, storeWait)
	defer cancel()
	body, problem := e.inspectHere(ctx, m)
	if problem == nil {
		return &wire.InspectReply{Report: body}
	}
	text, err := json.Marshal(problem)
	if err != nil {
		panic("entry: a problem can't be encoded: " + err.Error())
	}
	return &wire.InspectReply{Problem: text}
}

func (e *Entry) inspectHere(ctx context.Context, m *wire.InspectRequest) (json.RawMessage, *api.Problem) {
	var v any
	var problem *api.Problem
	if m.Job == "" {
		v, problem = e.reportHere(ctx, m.Service)
	} else {
		v, problem = e.explainHere(ctx, m.Service, m.Job)
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

// reportPlanner names this entry's term of the duty.
func (e *Entry) reportPlanner(service string) api.ReportPlanner {
	out := api.ReportPlanner{Entry: e.cfg.ID, Region: e.cfg.Region}
	for _, d := range e.duties.held() {
		if d.Service == service {
			out.Epoch, out.Since = d.Epoch, d.Since
		}
	}
	if h, ok := e.docs.Current(service); ok {
		out.Generation = h.Version.Generation
	}
	return out
}
