package agent

import (
	"context"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/membership"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// sendMissingDocument sends a member the active document of its service if it lacks it,
// so that entries need to send documents only to the relay. A push that fails is repeated
// after the member's next report. The caller holds the lock.
func (r *reporter) sendMissingDocument(conn *wire.Conn, memberID string) {
	for _, m := range r.router.Members() {
		if m.Report.ID == memberID {
			r.sendIfMissing(conn, m)
		}
	}
}

func (r *reporter) sendIfMissing(conn *wire.Conn, member *membership.Member) {
	active, ok := r.agent.documents.Current(member.Report.Service)
	memberID := member.Report.ID
	if !ok || r.sendingDocuments[memberID] || document.IncludesGeneration(member.Report.Generations, active.Version.Summary()) {
		return
	}
	r.sendingDocuments[memberID] = true
	go r.sendDocument(conn, memberID, active.Version) // bounded by its timeout; not started by the tomb, as the caller may run outside of it
}

func (r *reporter) sendDocument(conn *wire.Conn, memberID string, version wire.DocumentVersion) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	_, _ = conn.Call(ctx, &wire.PublishDocuments{Versions: []wire.DocumentVersion{version}}) // retried after the next report
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sendingDocuments, memberID)
}

// pushDocument sends a new generation to all members of the service over the connections
// that they opened to this relay.
func (r *reporter) pushDocument(active *document.ActiveVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.router == nil {
		return
	}
	members := make(map[string]*membership.Member)
	for _, m := range r.router.Members() {
		if m.Report.Service == active.Version.Service {
			members[m.Report.ID] = m
		}
	}
	if len(members) == 0 {
		return
	}
	for _, c := range r.agent.endpoint.Conns() {
		if m := members[c.Peer().ID]; m != nil && c.Usable() {
			r.sendIfMissing(c, m)
		}
	}
}
