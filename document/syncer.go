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
func NewSyncer(now time.Time, config SyncerConfig, inForce *ActiveSet) *Syncer {
	return &Syncer{
		config:      config,
		active:      inForce,
		startedAt:   now,
		confirmed:   map[string]bool{},
		nextQueryAt: now,
		nextListAt:  now.Add(config.ListPeriod),
	}
}

// Ready reports whether the configuration is confirmed. It stays so.
func (f *Syncer) Ready() bool {
	return f.ready
}

// HandleEvent takes one event and returns what to do, in order.
func (f *Syncer) HandleEvent(now time.Time, event SyncerEvent) []SyncerAction {
	var actions []SyncerAction
	switch e := event.(type) {
	case StoreListed:
		actions = f.handleStoreListed(now, e)
	case StoreChanged:
		if f.active.Update(now, e.Document.Version) != UpdateRefused {
			f.relistIfStale(now, e.Document.Version)
		}
	case StoreDeleted:
		f.relistIfStale(now, Version{Service: e.Service})
	case PeersUpdated:
		f.peers = e.PeerIDs[:min(len(e.PeerIDs), maxPeers)]
	case PeerAnswered:
		f.handlePeerAnswered(now, e)
	case StoreFailed, SyncerTick:
	}
	actions = append(actions, f.checkReady(now)...)
	return append(actions, f.dueActions(now)...)
}

func (f *Syncer) handleStoreListed(now time.Time, e StoreListed) []SyncerAction {
	f.storeListed = true
	f.nextListAt = now.Add(f.config.ListPeriod)
	var actions []SyncerAction
	listed := map[string]bool{}
	for _, service := range e.Unreadable {
		listed[service] = true
	}
	for _, d := range e.Documents {
		listed[d.Version.Service] = true
		if f.active.Update(now, d.Version) != UpdateRefused {
			actions = append(actions, f.writeBackIfStale(now, d)...)
		}
	}
	for _, h := range f.active.All() {
		if service := h.Version.Service; !listed[service] {
			actions = append(actions, f.writeBackIfStale(now, StoredVersion{Version: Version{Service: service}})...)
		}
	}
	return actions
}

// relistIfStale brings a listing forward where a watch shows less than this process
// holds. It does not repair by itself: a restored store counts its revisions
// again from the backup, so that an old event can name the revision of a newer
// write, and a compare-and-swap on it would remove that write. A listing is
// read now.
func (f *Syncer) relistIfStale(now time.Time, v Version) {
	h, ok := f.active.Current(v.Service)
	if ok && h.Version.Generation > v.Generation {
		f.nextListAt = now
	}
}

// writeBackIfStale writes back where a listing shows less than this process holds, once
// it was offered what the store holds. It guards against a store restored from
// a backup, which shows as a lower generation than the one in force, or none.
func (f *Syncer) writeBackIfStale(now time.Time, d StoredVersion) []SyncerAction {
	h, ok := f.active.Current(d.Version.Service)
	if !ok || h.Version.Generation <= d.Version.Generation {
		return nil
	}
	if at := now.Add(f.config.WriteBackCheckDelay); at.Before(f.nextListAt) {
		f.nextListAt = at // to see whether it held
	}
	return []SyncerAction{WriteBack{Version: h.Version, Expect: d.Revision, Replaced: d.Version}}
}

func (f *Syncer) handlePeerAnswered(now time.Time, e PeerAnswered) {
	for _, v := range e.Versions {
		f.active.Update(now, v)
	}
	fresh := !e.QueriedAt.Before(f.startedAt) && now.Sub(e.QueriedAt) <= f.config.MaxAnswerAge
	if !e.Ready || !fresh {
		return
	}
	if len(f.active.Missing(e.Summaries)) == 0 && len(f.confirmed) < maxPeers {
		f.confirmed[e.Peer] = true
	}
}

func (f *Syncer) checkReady(now time.Time) []SyncerAction {
	if f.ready {
		return nil
	}
	waited := f.queriesExhausted(now)
	source := ConfirmedByStore
	switch {
	case f.storeListed && (len(f.confirmed) > 0 || waited):
	case f.hasEnoughPeers(waited):
		source = ConfirmedByPeers
	default:
		return nil
	}
	f.ready = true
	return []SyncerAction{MarkReady{Source: source}}
}

// queriesExhausted is true where peers had their chance to answer: enough rounds, the
// last of them a short while ago.
func (f *Syncer) queriesExhausted(now time.Time) bool {
	since := now.Sub(f.nextQueryAt.Add(-f.config.QueryPeriod))
	return f.queryRounds >= f.config.QueryRounds && since >= f.config.QueryPeriod && since <= f.config.MaxAnswerAge
}

// hasEnoughPeers needs Confirmations answers, or as many as peers are known
// where these are fewer after AskRounds. A process without peers is not
// confirmed.
func (f *Syncer) hasEnoughPeers(waited bool) bool {
	need := f.config.RequiredConfirmations
	if waited {
		need = min(need, max(len(f.peers), 1))
	}
	return len(f.confirmed) >= need
}

// dueActions returns the actions whose time has come.
func (f *Syncer) dueActions(now time.Time) []SyncerAction {
	var actions []SyncerAction
	if !f.ready && !now.Before(f.nextQueryAt) {
		f.nextQueryAt = now.Add(f.config.QueryPeriod)
		f.queryRounds++
		if ids := f.nextPeersToQuery(); len(ids) > 0 {
			actions = append(actions, QueryPeers{PeerIDs: ids})
		}
	}
	if f.config.ReadsStore && f.storeListed && !now.Before(f.nextListAt) {
		f.nextListAt = now.Add(f.config.ListPeriod)
		actions = append(actions, ListStore{})
	}
	return actions
}

// nextPeersToQuery returns a few peers that have not confirmed yet, in turn.
func (f *Syncer) nextPeersToQuery() []string {
	var ids []string
	for range f.peers {
		id := f.peers[f.nextPeer%len(f.peers)]
		f.nextPeer++
		if !f.confirmed[id] {
			ids = append(ids, id)
		}
		if len(ids) == maxPeersPerRound {
			break
		}
	}
	return ids
}
