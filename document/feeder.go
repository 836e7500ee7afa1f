package document

import "time"

// FeederConfig is the timing of a Feeder.
type FeederConfig struct {
	Store         bool          // whether this process reads the store; agents do not
	Confirmations int           // distinct ready peers that stand in for the store
	PeerWait      time.Duration // how long to wait for peers to become known and answer
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
		PeerWait:      time.Second,
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
// outage of the store. A fresh process is ready only once the store answered
// and a peer had the chance to know better, or else Confirmations peers, each
// ready itself, gave what they hold. The highest generation wins.
type Feeder struct {
	config  FeederConfig
	inForce *InForce

	started   time.Time
	storeSeen bool
	peers     []string
	confirmed map[string]bool // peers that answered, are ready and have nothing we lack
	answered  bool            // any peer answered
	ready     bool
	askAt     time.Time
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
		f.inForce.Offer(now, e.Document.Version)
		actions = f.repair(now, e.Document)
	case StoreDeleted:
		actions = f.repair(now, Stored{Version: Version{Service: e.Service}})
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
		f.inForce.Offer(now, d.Version)
		actions = append(actions, f.repair(now, d)...)
	}
	for _, h := range f.inForce.All() {
		if service := h.Version.Service; !listed[service] {
			actions = append(actions, f.repair(now, Stored{Version: Version{Service: service}})...)
		}
	}
	return actions
}

// repair writes back where the store holds less than this process.
func (f *Feeder) repair(now time.Time, d Stored) []FeederAction {
	h, ok := f.inForce.Current(d.Version.Service)
	if !ok || !f.config.Store {
		return nil
	}
	v, ok := repair(h.Version, d.Version)
	if !ok {
		return nil
	}
	f.listSoon(now)
	return []FeederAction{WriteBack{Version: v, Expect: d.Revision, Replaced: d.Version}}
}

// listSoon brings the next listing forward, to see whether a write back held.
func (f *Feeder) listSoon(now time.Time) {
	if at := now.Add(f.config.RetryAfter); at.Before(f.listAt) {
		f.listAt = at
	}
}

func (f *Feeder) peerAnswered(now time.Time, e PeerAnswered) {
	f.answered = true
	for _, v := range e.Versions {
		f.inForce.Offer(now, v)
	}
	if !e.Ready {
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
	waited := now.Sub(f.started) >= f.config.PeerWait
	source := FromStore
	switch {
	case f.storeSeen && (f.answered || waited):
	case f.confirmedByPeers(waited):
		source = FromPeers
	default:
		return nil
	}
	f.ready = true
	return []FeederAction{BecomeReady{Source: source}}
}

// confirmedByPeers needs Confirmations answers, or as many as peers are known
// where these are fewer after PeerWait. A process without peers is not
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
	if !f.ready && len(f.peers) > 0 && !now.Before(f.askAt) {
		f.askAt = now.Add(f.config.AskEvery)
		actions = append(actions, AskPeers{IDs: f.nextPeers()})
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
