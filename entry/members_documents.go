package entry

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/membership"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// publishTimeout bounds the sending of documents to one agent.
const publishTimeout = 3 * time.Second

// offerDocuments sends an agent what it lacks of its service's document.
func (m *members) offerDocuments(member *membership.Member) {
	id := member.Report.ID
	held, ok := m.e.docs.Current(member.Report.Service)
	if ok && ahead(member.Report.Generations, held.Version.Summary()) {
		m.e.catchUp()
	}
	if !ok || document.Holds(member.Report.Generations, held.Version.Summary()) {
		return
	}
	if m.relayed(id) && time.Since(held.Since) < relayGrace {
		return
	}
	m.mu.Lock()
	busy := m.sending[id]
	m.sending[id] = true
	m.mu.Unlock()
	if !busy {
		go m.sendDocument(id, wire.DocumentVersion(held.Version))
	}
}

// relayGrace is how long a relay has to bring its members a new generation. One
// of an older binary may refuse a document that its members can read; it shows as
// members that lack the generation although they report.
const relayGrace = 4 * time.Second

func (m *members) sendDocument(agent string, v wire.DocumentVersion) {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	_, _ = m.e.agents.call(ctx, agent, &wire.PublishDocuments{Versions: []wire.DocumentVersion{v}}, anyPath) // its next report shows what it lacks
	m.mu.Lock()
	delete(m.sending, agent)
	m.mu.Unlock()
}

// publish sends a new generation at once to every agent of its service that
// reports itself. Relays send it on to the others.
func (m *members) publish(v wire.DocumentVersion) {
	for _, member := range m.table.Snapshot().Service(v.Service).Members {
		if !m.relayed(member.Report.ID) {
			go m.sendDocument(member.Report.ID, v)
		}
	}
}
