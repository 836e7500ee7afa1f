package entry

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/membership"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// publishTimeout limits the sending of documents to one agent.
const publishTimeout = 3 * time.Second

// sendMissingDocument sends an agent its service's document if it lacks the active
// generation.
func (m *members) sendMissingDocument(member *membership.Member) {
	id := member.Report.ID
	active, ok := m.entry.documents.Current(member.Report.Service)
	if ok && hasNewerGeneration(member.Report.Generations, active.Version.Summary()) {
		m.entry.fetchNewerDocuments()
	}
	if !ok || document.IncludesGeneration(member.Report.Generations, active.Version.Summary()) {
		return
	}
	if m.isRelayed(id) && time.Since(active.Since) < relayDocumentGrace {
		return
	}
	m.mu.Lock()
	alreadySending := m.sending[id]
	m.sending[id] = true
	m.mu.Unlock()
	if !alreadySending {
		go m.sendDocument(id, wire.DocumentVersion(active.Version))
	}
}

// relayDocumentGrace is how long a relay has to pass a new generation to its members
// before the entry sends it directly. A relay with an older binary may refuse a document
// that its members can read.
const relayDocumentGrace = 4 * time.Second

func (m *members) sendDocument(agent string, v wire.DocumentVersion) {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	_, _ = m.entry.agents.call(ctx, agent, &wire.PublishDocuments{Versions: []wire.DocumentVersion{v}}, anyConn) // the agent's next report shows whether it got the document
	m.mu.Lock()
	delete(m.sending, agent)
	m.mu.Unlock()
}

// publish sends a new generation at once to every agent of its service that reports
// directly. Relays pass it on to the others.
func (m *members) publish(v wire.DocumentVersion) {
	for _, member := range m.table.Snapshot().Service(v.Service).Members {
		if !m.isRelayed(member.Report.ID) {
			go m.sendDocument(member.Report.ID, v)
		}
	}
}
