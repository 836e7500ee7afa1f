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
func (r *reporter) offerDocuments(conn *wire.Conn, memberID string) {
	for _, m := range r.router.Members() {
		if m.Report.ID == memberID {
			r.offerDocument(conn, m)
		}
	}
}

func (r *reporter) offerDocument(conn *wire.Conn, member *membership.Member) {
	current, ok := r.agent.documents.Current(member.Report.Service)
	memberID := member.Report.ID
	if !ok || r.sendingDocuments[memberID] || document.IncludesGeneration(member.Report.Generations, current.Version.Summary()) {
		return
	}
	r.sendingDocuments[memberID] = true
	go r.sendDocument(conn, memberID, current.Version) // ends with its timeout; the caller may be outside of the tomb
}

func (r *reporter) sendDocument(conn *wire.Conn, memberID string, version wire.DocumentVersion) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	_, _ = conn.Call(ctx, &wire.PublishDocuments{Versions: []wire.DocumentVersion{version}}) // its next report shows what it lacks
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sendingDocuments, memberID)
}

// pushDocument sends a new generation to every member at once, over the connections
// that they hold to this relay.
func (r *reporter) pushDocument(current *document.ActiveVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.router == nil {
		return
	}
	members := make(map[string]*membership.Member)
	for _, m := range r.router.Members() {
		if m.Report.Service == current.Version.Service {
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
