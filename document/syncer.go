package document

import "time"

// SyncerConfig is the timing of a Feeder.
type SyncerConfig struct {
	ReadsStore            bool          // whether this process reads the store; agents do not
	RequiredConfirmations int           // distinct ready peers that stand in for the store
	QueryRounds           int           // rounds of asking peers, AskEvery apart, before fewer or none have to do
	MaxAnswerAge          time.Duration // from question to answer, above which it confirms nothing
	QueryPeriod           time.Duration // between two rounds of asking peers
	ListPeriod            time.Duration // between two listings of the store
	WriteBackCheckDelay   time.Duration // from a write back to the listing that checks it
}

// DefaultSyncerConfig returns the timing for a process that reads the store,
// or one that does not.
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

// Bounds of what a Feeder keeps and asks at once.
const (
	maxPeers         = 64
	maxPeersPerRound = 4
)

// Syncer decides from where a process takes its documents, when they are
// confirmed, and when the store is to be repaired. It is pure but for the
// InForce it offers to; one goroutine owns it.
//
// It guards against a fresh process that goes into service with an old copy,
// which shows as an old generation in force again after a restart during an
// outage of the store, or after its restore. A fresh process is ready only
// once the store answered and a ready peer had nothing higher, or else once
// Confirmations ready peers answered. The highest generation wins. Where the
// store answered and no ready peer does in AskRounds, the store's word has to
// do: all processes may have started at once. Rounds are counted, not time: a
// process that was paused has asked nobody meanwhile.
//
// An answer counts only while it is fresh. A late one, asked for by an earlier
// incarnation of this process, shows what the peer held long ago.
type Syncer struct {
	config SyncerConfig
	active *ActiveSet

	startedAt   time.Time
	storeListed bool
	peers       []string
	confirmed   map[string]bool // peers that answered, are ready and have nothing we lack
	ready       bool
	nextQueryAt time.Time
	queryRounds int // of asking
	nextPeer    int // rotates over the peers
	nextListAt  time.Time
}

// NewSyncer returns a Feeder that is not ready.
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

// Ready reports whether the configuration is confirmed. It stays so.
func (s *Syncer) Ready() bool {
	return s.ready
}

// HandleEvent takes one event and returns what to do, in order.
func (s *Syncer) HandleEvent(now time.Time, event SyncerEvent) []SyncerAction {
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
	for _, h := range s.active.All() {
		if service := h.Version.Service; !listed[service] {
			actions = append(actions, s.writeBackIfStale(now, StoredVersion{Version: Version{Service: service}})...)
		}
	}
	return actions
}

// relistIfStale brings a listing forward where a watch shows less than this process
// holds. It does not repair by itself: a restored store counts its revisions
// again from the backup, so that an old event can name the revision of a newer
// write, and a compare-and-swap on it would remove that write. A listing is
// read now.
func (s *Syncer) relistIfStale(now time.Time, v Version) {
	h, ok := s.active.Current(v.Service)
	if ok && h.Version.Generation > v.Generation {
		s.nextListAt = now
	}
}

// writeBackIfStale writes back where a listing shows less than this process holds, once
// it was offered what the store holds. It guards against a store restored from
// a backup, which shows as a lower generation than the one in force, or none.
func (s *Syncer) writeBackIfStale(now time.Time, stored StoredVersion) []SyncerAction {
	h, ok := s.active.Current(stored.Version.Service)
	if !ok || h.Version.Generation <= stored.Version.Generation {
		return nil
	}
	if checkAt := now.Add(s.config.WriteBackCheckDelay); checkAt.Before(s.nextListAt) {
		s.nextListAt = checkAt // to see whether it held
	}
	return []SyncerAction{WriteBack{Version: h.Version, Expect: stored.Revision, Replaced: stored.Version}}
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

// queriesExhausted is true where peers had their chance to answer: enough rounds, the
// last of them a short while ago.
func (s *Syncer) queriesExhausted(now time.Time) bool {
	sinceQuery := now.Sub(s.nextQueryAt.Add(-s.config.QueryPeriod))
	return s.queryRounds >= s.config.QueryRounds && sinceQuery >= s.config.QueryPeriod && sinceQuery <= s.config.MaxAnswerAge
}

// hasEnoughPeers needs Confirmations answers, or as many as peers are known
// where these are fewer after AskRounds. A process without peers is not
// confirmed.
func (s *Syncer) hasEnoughPeers(exhausted bool) bool {
	required := s.config.RequiredConfirmations
	if exhausted {
		required = min(required, max(len(s.peers), 1))
	}
	return len(s.confirmed) >= required
}

// dueActions returns the actions whose time has come.
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

// nextPeersToQuery returns a few peers that have not confirmed yet, in turn.
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
