package entry

import (
	"net/http"
	"strconv"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/membership"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// status answers with the state of this entry and the members that it knows.
func (e *Entry) status(w http.ResponseWriter, _ *http.Request) {
	s := api.Status{
		ID:          e.cfg.ID,
		Incarnation: strconv.FormatUint(e.incarnation, 10),
		Zone:        e.cfg.Zone,
		Ready:       e.checkReady() == nil,
		Draining:    e.draining.Load(),
		Since:       e.startedAt,
		Leaderships: e.elections.leaderships(),
		Generations: []api.Generation{},
		Members:     []api.Member{},
	}
	for _, h := range e.documents.All() {
		s.Generations = append(s.Generations, api.Generation{
			Service:    h.Version.Service,
			Generation: h.Version.Generation,
			Since:      h.Since,
		})
	}
	snap := e.members.table.Snapshot()
	for _, service := range snap.Services() {
		for _, m := range snap.Service(service).Members {
			member := memberStatus(m)
			member.Since = e.members.generationSince(member.ID)
			member.Relay = e.members.lastRelayOf(member.ID)
			s.Members = append(s.Members, member)
		}
	}
	for _, p := range e.registry.others() {
		s.Members = append(s.Members, api.Member{ID: p.ID, Role: string(wire.RoleEntry), Zone: p.Zone, State: "registered"})
	}
	api.WriteJSON(w, http.StatusOK, s)
}

func memberStatus(m *membership.Member) api.Member {
	out := api.Member{
		ID:      m.Report.ID,
		Role:    string(wire.RoleAgent),
		Zone:    m.Report.Zone,
		Service: m.Report.Service,
		State:   stateName(m),
	}
	for _, g := range m.Report.Generations {
		if g.Service == m.Report.Service {
			out.Generation = g.Generation
		}
	}
	return out
}

func stateName(m *membership.Member) string {
	switch {
	case m.Report.Draining:
		return "draining"
	case m.State == membership.Suspect:
		return "suspect"
	default:
		return "alive"
	}
}
