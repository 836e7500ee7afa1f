package document

import "time"

// SyncerConfig holds the limits and intervals of a Syncer.
type SyncerConfig struct {
	ReadsStore            bool          // whether this process reads the store; false in agents
	RequiredConfirmations int           // ready peers that are needed if the store does not answer
	QueryRounds           int           // rounds after which fewer confirmations are enough
	MaxAnswerAge          time.Duration // age, since the query, above which an answer does not confirm
	QueryPeriod           time.Duration // between two rounds of queries to peers
	ListPeriod            time.Duration // between two listings of the store
	WriteBackCheckDelay   time.Duration // from a write-back to the listing that verifies it
}

// DefaultSyncerConfig returns the defaults for a process that reads the store, or for one
// that does not.
func DefaultSyncerConfig(store bool) SyncerConfig {
	return SyncerConfig{
		ReadsStore:            store,
		RequiredConfirmations: 2,
		QueryRounds:           4,
		MaxAnswerAge:          2 * time.Second,
		QueryPeriod:           500 * time.Millisecond,
		ListPeriod:            10 * time.Second,
		WriteBackCheckDelay:   time.Second,
	}
}

// Limits on the number of known peers and of peers queried in one round.
const (
	maxPeers         = 64
	maxPeersPerRound = 4
)

// Syncer is the state machine that keeps the documents of a process up to date. It decides
// whom to query, when the documents are confirmed, and when to repair the store. It does
// no I/O; it updates its ActiveSet and returns actions. One goroutine owns it.
//
// A process is ready once the store and one ready peer have answered, or once
// RequiredConfirmations ready peers have; so it does not become ready with an outdated
// document during a store outage or after a restore. If no ready peer answers within
// QueryRounds, the store is enough, since all processes may have started at once. Rounds
// are counted instead of time, because a paused process has queried no one. Answers older
// than MaxAnswerAge, or to queries of an earlier incarnation, do not confirm.
type Syncer struct {
	config SyncerConfig
	active *ActiveSet

	startedAt   time.Time
	storeListed bool
	peers       []string
	confirmed   map[string]bool // ready peers that have no newer version
	ready       bool
	nextQueryAt time.Time
	queryRounds int
	nextPeer    int // index of the next peer to query, modulo the number of peers
	nextListAt  time.Time
}

// NewSyncer returns a Syncer that updates the given set. It is not ready.
func NewSyncer(now time.Time, config SyncerConfig, active *ActiveSet) *Syncer {
	return &Syncer{
		config:      config,
		active:      active,
		startedAt:   now,
		confirmed:   map[string]bool{},
		nextQueryAt: now,
		nextListAt:  now.Add(config.ListPeriod),
	}
}

// Ready reports whether the documents are confirmed. Once true, it stays true.
func (s *Syncer) Ready() bool {
	return s.ready
}

// Step processes an event and returns the actions to perform, in order.
func (s *Syncer) Step(now time.Time, event SyncerEvent) []SyncerAction {
	var actions []SyncerAction
	switch e := event.(type) {
	case StoreListed:
		actions = s.handleStoreListed(now, e)
	case StoreChanged:
		if s.active.Update(now, e.Document.Version) != UpdateRefused {
			s.relistIfStale(now, e.Document.Version)
		}
	case StoreDeleted:
		s.relistIfStale(now, Version{Service: e.Service})
	case PeersUpdated:
		s.peers = e.PeerIDs[:min(len(e.PeerIDs), maxPeers)]
	case PeerAnswered:
		s.handlePeerAnswered(now, e)
	case StoreFailed, SyncerTick:
	}
	actions = append(actions, s.checkReady(now)...)
	return append(actions, s.dueActions(now)...)
}

// handleStoreListed updates the set with the listed documents and writes back newer ones,
// including those that the store lacks.
func (s *Syncer) handleStoreListed(now time.Time, e StoreListed) []SyncerAction {
	s.storeListed = true
	s.nextListAt = now.Add(s.config.ListPeriod)
	var actions []SyncerAction
	listed := map[string]bool{}
	for _, service := range e.Unreadable {
		listed[service] = true
	}
	for _, stored := range e.Documents {
		listed[stored.Version.Service] = true
		if s.active.Update(now, stored.Version) != UpdateRefused {
			actions = append(actions, s.writeBackIfStale(now, stored)...)
		}
	}
	for _, active := range s.active.All() {
		if service := active.Version.Service; !listed[service] {
			actions = append(actions, s.writeBackIfStale(now, StoredVersion{Version: Version{Service: service}})...)
		}
	}
	return actions
}

// relistIfStale schedules a listing if a watch shows an older version than the active one.
// It does not write back: a restored store reuses revisions, so the event's revision may
// belong to a newer write, which a compare-and-swap on it would overwrite.
func (s *Syncer) relistIfStale(now time.Time, v Version) {
	active, ok := s.active.Current(v.Service)
	if ok && active.Version.Generation > v.Generation {
		s.nextListAt = now
	}
}

// writeBackIfStale writes the active version back if a listing shows an older one or none,
// as after the store was restored from a backup. The listed version has been passed to
// Update before.
func (s *Syncer) writeBackIfStale(now time.Time, stored StoredVersion) []SyncerAction {
	active, ok := s.active.Current(stored.Version.Service)
	if !ok || active.Version.Generation <= stored.Version.Generation {
		return nil
	}
	if checkAt := now.Add(s.config.WriteBackCheckDelay); checkAt.Before(s.nextListAt) {
		s.nextListAt = checkAt // to verify the write
	}
	return []SyncerAction{WriteBack{Version: active.Version, Expect: stored.Revision, Replaced: stored.Version}}
}

func (s *Syncer) handlePeerAnswered(now time.Time, e PeerAnswered) {
	for _, v := range e.Versions {
		s.active.Update(now, v)
	}
	fresh := !e.QueriedAt.Before(s.startedAt) && now.Sub(e.QueriedAt) <= s.config.MaxAnswerAge
	if !e.Ready || !fresh {
		return
	}
	if len(s.active.Missing(e.Summaries)) == 0 && len(s.confirmed) < maxPeers {
		s.confirmed[e.Peer] = true
	}
}

// checkReady returns MarkReady when the documents become confirmed.
func (s *Syncer) checkReady(now time.Time) []SyncerAction {
	if s.ready {
		return nil
	}
	exhausted := s.queriesExhausted(now)
	source := ConfirmedByStore
	switch {
	case s.storeListed && (len(s.confirmed) > 0 || exhausted):
	case s.hasEnoughPeers(exhausted):
		source = ConfirmedByPeers
	default:
		return nil
	}
	s.ready = true
	return []SyncerAction{MarkReady{Source: source}}
}

// queriesExhausted reports whether peers had enough time to answer: QueryRounds rounds are
// over, and the last of them is recent.
func (s *Syncer) queriesExhausted(now time.Time) bool {
	sinceQuery := now.Sub(s.nextQueryAt.Add(-s.config.QueryPeriod))
	return s.queryRounds >= s.config.QueryRounds && sinceQuery >= s.config.QueryPeriod && sinceQuery <= s.config.MaxAnswerAge
}

// hasEnoughPeers reports whether RequiredConfirmations peers have confirmed or, once the
// query rounds are exhausted, all known peers if there are fewer. A process without peers
// is never confirmed by them.
func (s *Syncer) hasEnoughPeers(exhausted bool) bool {
	required := s.config.RequiredConfirmations
	if exhausted {
		required = min(required, max(len(s.peers), 1))
	}
	return len(s.confirmed) >= required
}

// dueActions returns the periodic actions that are due.
func (s *Syncer) dueActions(now time.Time) []SyncerAction {
	var actions []SyncerAction
	if !s.ready && !now.Before(s.nextQueryAt) {
		s.nextQueryAt = now.Add(s.config.QueryPeriod)
		s.queryRounds++
		if ids := s.nextPeersToQuery(); len(ids) > 0 {
			actions = append(actions, QueryPeers{PeerIDs: ids})
		}
	}
	if s.config.ReadsStore && s.storeListed && !now.Before(s.nextListAt) {
		s.nextListAt = now.Add(s.config.ListPeriod)
		actions = append(actions, ListStore{})
	}
	return actions
}

// nextPeersToQuery returns, in round-robin order, up to maxPeersPerRound peers that have
// not confirmed yet.
func (s *Syncer) nextPeersToQuery() []string {
	var ids []string
	for range s.peers {
		id := s.peers[s.nextPeer%len(s.peers)]
		s.nextPeer++
		if !s.confirmed[id] {
			ids = append(ids, id)
		}
		if len(ids) == maxPeersPerRound {
			break
		}
	}
	return ids
}
