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
func (r *reports) offerDocuments(from *wire.Conn, id string) {
	for _, m := range r.announcer.Members() {
		if m.Report.ID == id {
			r.offer(from, m)
		}
	}
}

func (r *reports) offer(to *wire.Conn, m *membership.Member) {
	held, ok := r.a.docs.Current(m.Report.Service)
	id := m.Report.ID
	if !ok || r.sending[id] || document.IncludesGeneration(m.Report.Generations, held.Version.Summary()) {
		return
	}
	r.sending[id] = true
	go r.sendDocument(to, id, held.Version) // ends with its timeout; the caller may be outside of the tomb
}

func (r *reports) sendDocument(to *wire.Conn, id string, v wire.DocumentVersion) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	_, _ = to.Call(ctx, &wire.PublishDocuments{Versions: []wire.DocumentVersion{v}}) // its next report shows what it lacks
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sending, id)
}

// spread sends a new generation to every member at once, over the connections
// that they hold to this relay.
func (r *reports) spread(now *document.ActiveVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.announcer == nil {
		return
	}
	members := make(map[string]*membership.Member)
	for _, m := range r.announcer.Members() {
		if m.Report.Service == now.Version.Service {
			members[m.Report.ID] = m
		}
	}
	if len(members) == 0 {
		return
	}
	for _, c := range r.a.ep.Conns() {
		if m := members[c.Peer().ID]; m != nil && c.Usable() {
			r.offer(c, m)
		}
	}
}
