package document

import "time"

// FeederConfig is the timing of a Feeder.
type FeederConfig struct {
	Store         bool          // whether this process reads the store; agents do not
	Confirmations int           // distinct ready peers that stand in for the store
	AskRounds     int           // rounds of asking peers, AskEvery apart, before fewer or none have to do
	AnswerAge     time.Duration // from question to answer, above which it confirms nothing
	AskEvery      time.Duration // between two rounds of asking peers
	RelistEvery   time.Duration // between two listings of the store
	RetryAfter    time.Duration // from a write back to the listing that checks it
}

// DefaultFeederConfig returns the timing for a process that reads the store,
// or one that does not.
func DefaultFeederConfig(store bool) FeederConfig {
	return FeederConfig{
		Store:         store,
		Confirmations: 2,
		AskRounds:     4,
		AnswerAge:     2 * time.Second,
		AskEvery:      500 * time.Millisecond,
		RelistEvery:   10 * time.Second,
		RetryAfter:    time.Second,
	}
}

// Bounds of what a Feeder keeps and asks at once.
const (
	maxPeersKnown  = 64
	maxAskedAtOnce = 4
)

// Feeder decides from where a process takes its documents, when they are
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
type Feeder struct {
	config  FeederConfig
	inForce *InForce

	started   time.Time
	storeSeen bool
	peers     []string
	confirmed map[string]bool // peers that answered, are ready and have nothing we lack
	ready     bool
	askAt     time.Time
	rounds    int // of asking
	asked     int // rotates over the peers
	listAt    time.Time
}

// NewFeeder returns a Feeder that is not ready.
func NewFeeder(now time.Time, config FeederConfig, inForce *InForce) *Feeder {
	return &Feeder{
		config:    config,
		inForce:   inForce,
		started:   now,
		confirmed: map[string]bool{},
		askAt:     now,
		listAt:    now.Add(config.RelistEvery),
	}
}

// Ready reports whether the configuration is confirmed. It stays so.
func (f *Feeder) Ready() bool {
	return f.ready
}

// Step takes one event and returns what to do, in order.
func (f *Feeder) Step(now time.Time, event FeederEvent) []FeederAction {
	var actions []FeederAction
	switch e := event.(type) {
	case StoreListed:
		actions = f.listed(now, e)
	case StoreChanged:
		if f.inForce.Offer(now, e.Document.Version) != Refused {
			f.changed(now, e.Document.Version)
		}
	case StoreDeleted:
		f.changed(now, Version{Service: e.Service})
	case PeersKnown:
		f.peers = e.IDs[:min(len(e.IDs), maxPeersKnown)]
	case PeerAnswered:
		f.peerAnswered(now, e)
	case StoreFailed, FeederTick:
	}
	actions = append(actions, f.becomeReady(now)...)
	return append(actions, f.due(now)...)
}

func (f *Feeder) listed(now time.Time, e StoreListed) []FeederAction {
	f.storeSeen = true
	f.listAt = now.Add(f.config.RelistEvery)
	var actions []FeederAction
	listed := map[string]bool{}
	for _, service := range e.Unreadable {
		listed[service] = true
	}
	for _, d := range e.Documents {
		listed[d.Version.Service] = true
		if f.inForce.Offer(now, d.Version) != Refused {
			actions = append(actions, f.repair(now, d)...)
		}
	}
	for _, h := range f.inForce.All() {
		if service := h.Version.Service; !listed[service] {
			actions = append(actions, f.repair(now, Stored{Version: Version{Service: service}})...)
		}
	}
	return actions
}

// changed brings a listing forward where a watch shows less than this process
// holds. It does not repair by itself: a restored store counts its revisions
// again from the backup, so that an old event can name the revision of a newer
// write, and a compare-and-swap on it would remove that write. A listing is
// read now.
func (f *Feeder) changed(now time.Time, v Version) {
	h, ok := f.inForce.Current(v.Service)
	if ok && h.Version.Generation > v.Generation {
		f.listAt = now
	}
}

// repair writes back where a listing shows less than this process holds, once
// it was offered what the store holds. It guards against a store restored from
// a backup, which shows as a lower generation than the one in force, or none.
func (f *Feeder) repair(now time.Time, d Stored) []FeederAction {
	h, ok := f.inForce.Current(d.Version.Service)
	if !ok || h.Version.Generation <= d.Version.Generation {
		return nil
	}
	if at := now.Add(f.config.RetryAfter); at.Before(f.listAt) {
		f.listAt = at // to see whether it held
	}
	return []FeederAction{WriteBack{Version: h.Version, Expect: d.Revision, Replaced: d.Version}}
}

func (f *Feeder) peerAnswered(now time.Time, e PeerAnswered) {
	for _, v := range e.Versions {
		f.inForce.Offer(now, v)
	}
	fresh := !e.Asked.Before(f.started) && now.Sub(e.Asked) <= f.config.AnswerAge
	if !e.Ready || !fresh {
		return
	}
	if len(f.inForce.Missing(e.Generations)) == 0 && len(f.confirmed) < maxPeersKnown {
		f.confirmed[e.Peer] = true
	}
}

func (f *Feeder) becomeReady(now time.Time) []FeederAction {
	if f.ready {
		return nil
	}
	waited := f.waited(now)
	source := FromStore
	switch {
	case f.storeSeen && (len(f.confirmed) > 0 || waited):
	case f.confirmedByPeers(waited):
		source = FromPeers
	default:
		return nil
	}
	f.ready = true
	return []FeederAction{BecomeReady{Source: source}}
}

// waited is true where peers had their chance to answer: enough rounds, the
// last of them a short while ago.
func (f *Feeder) waited(now time.Time) bool {
	since := now.Sub(f.askAt.Add(-f.config.AskEvery))
	return f.rounds >= f.config.AskRounds && since >= f.config.AskEvery && since <= f.config.AnswerAge
}

// confirmedByPeers needs Confirmations answers, or as many as peers are known
// where these are fewer after AskRounds. A process without peers is not
// confirmed.
func (f *Feeder) confirmedByPeers(waited bool) bool {
	need := f.config.Confirmations
	if waited {
		need = min(need, max(len(f.peers), 1))
	}
	return len(f.confirmed) >= need
}

// due returns the actions whose time has come.
func (f *Feeder) due(now time.Time) []FeederAction {
	var actions []FeederAction
	if !f.ready && !now.Before(f.askAt) {
		f.askAt = now.Add(f.config.AskEvery)
		f.rounds++
		if ids := f.nextPeers(); len(ids) > 0 {
			actions = append(actions, AskPeers{IDs: ids})
		}
	}
	if f.config.Store && f.storeSeen && !now.Before(f.listAt) {
		f.listAt = now.Add(f.config.RelistEvery)
		actions = append(actions, ListStore{})
	}
	return actions
}

// nextPeers returns a few peers that have not confirmed yet, in turn.
func (f *Feeder) nextPeers() []string {
	var ids []string
	for range f.peers {
		id := f.peers[f.asked%len(f.peers)]
		f.asked++
		if !f.confirmed[id] {
			ids = append(ids, id)
		}
		if len(ids) == maxAskedAtOnce {
			break
		}
	}
	return ids
}
