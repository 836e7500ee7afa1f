package agent

import (
	"context"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/membership"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// offerDocuments sends a member what it lacks of its service's document, so that
// entries send it to the relay alone. A push that was lost is repeated after the
// member's next report. It is called with the lock held.
func (r *reporter) offerDocuments(from *wire.Conn, id string) {
	for _, m := range r.router.Members() {
		if m.Report.ID == id {
			r.offerDocument(from, m)
		}
	}
}

func (r *reporter) offerDocument(to *wire.Conn, m *membership.Member) {
	held, ok := r.agent.documents.Current(m.Report.Service)
	id := m.Report.ID
	if !ok || r.sendingDocuments[id] || document.IncludesGeneration(m.Report.Generations, held.Version.Summary()) {
		return
	}
	r.sendingDocuments[id] = true
	go r.sendDocument(to, id, held.Version) // ends with its timeout; the caller may be outside of the tomb
}

func (r *reporter) sendDocument(to *wire.Conn, id string, v wire.DocumentVersion) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	_, _ = to.Call(ctx, &wire.PublishDocuments{Versions: []wire.DocumentVersion{v}}) // its next report shows what it lacks
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sendingDocuments, id)
}

// pushDocument sends a new generation to every member at once, over the connections
// that they hold to this relay.
func (r *reporter) pushDocument(now *document.ActiveVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.router == nil {
		return
	}
	members := make(map[string]*membership.Member)
	for _, m := range r.router.Members() {
		if m.Report.Service == now.Version.Service {
			members[m.Report.ID] = m
		}
	}
	if len(members) == 0 {
		return
	}
	for _, c := range r.agent.endpoint.Conns() {
		if m := members[c.Peer().ID]; m != nil && c.Usable() {
			r.offerDocument(c, m)
		}
	}
}
