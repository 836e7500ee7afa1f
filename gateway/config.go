package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// ConfigSource follows the operators' configuration.
type ConfigSource interface {
	// Follow offers every version and every change of the cordons to f, and confirms what
	// is in force, until ctx ends.
	Follow(ctx context.Context, f *catalog.Current)
	// Decode reads a version as a peer passed it on.
	Decode(raw []byte) (*catalog.Catalog, error)
}

// Advisor is the operators' advice service.
type Advisor interface {
	// Advise returns a ticket for each of the workers that may run the step, and how long
	// they are valid. The call takes as long as the queue's terms say.
	Advise(ctx context.Context, ask engine.AdviceRequest) (tickets map[engine.WorkerID]string, valid time.Duration, err error)
}

// Config of a Gateway.
type Config struct {
	ID     string
	Region string
	Zone   string
	Listen string // of the QUIC endpoint, also where others reach it
	// Seeds are addresses of gateways that may be there, or not any more.
	Seeds      []string
	ClusterKey []byte
	Store      store.Atomic
	Source     ConfigSource
	// SinceStoreReply returns how long ago the store last answered a call of this process.
	SinceStoreReply func() time.Duration
	// Advisor says which workers may run a step; nil where there is no such service.
	Advisor Advisor
	Engine  engine.Params
	// KeyRevocationDelay is how long a key that was taken away may still be honoured; a view of
	// the configuration is trusted for less than that.
	KeyRevocationDelay time.Duration
	// CordonDeadline is how soon after its acknowledgement nothing may start in a cordoned
	// zone any more. Zero: DefaultCordonWithin.
	CordonDeadline time.Duration
	// PlanningCapacity is how much planning this instance can carry, against others: the stronger
	// ones are first to take the duty of a planner that died. Zero: not known.
	PlanningCapacity float64
	Log              logrus.FieldLogger
}

// DefaultCordonDeadline is used where Config.CordonWithin is not set.
const DefaultCordonDeadline = 5 * time.Second

const (
	plannerLeaseName = "planner"
	// cordonMargin is taken off CordonWithin: a start leaves by then, after the view that it
	// was decided on was confirmed, and has this long to reach its worker.
	cordonMargin = 2 * time.Second
	// plannerLeaseTTL bounds how long nobody plans after the planner's machine died. It is six
	// times a renewal of a store that answers a hundred times slower than usual.
	plannerLeaseTTL = 2 * time.Second
	// plannerLeaseMaxPause bounds the pause between attempts to take the duty while the store is
	// out, and so how long nobody plans after its return.
	plannerLeaseMaxPause = 300 * time.Millisecond
	// keyRevocationMargin is taken off KeyLife: watches of the store may hear nothing for a
	// second while changes are made, and clocks differ in rate.
	keyRevocationMargin = 1500 * time.Millisecond
	// peerInterval is how often a gateway asks the planner's gateway for news.
	peerInterval = 500 * time.Millisecond
	peerTimeout  = 400 * time.Millisecond
	// configTransferTimeout bounds the transfer of a configuration from a peer: of a megabyte over
	// 2 Mbit/s.
	configTransferTimeout = 5 * time.Second
	// configStaleAfter is the age of the configuration's last confirmation from which a
	// gateway asks its peers for theirs.
	configStaleAfter = 1300 * time.Millisecond
	// memberTTL is how long a gateway counts as live after it was last heard.
	memberTTL = 10 * time.Second
	// storeRetryAfter is how long a gateway works through peers after the store failed it, while
	// nothing shows that it serves again. The configuration is read again each second or
	// sooner, so this is only for the case that nobody reads it.
	storeRetryAfter = 2 * time.Second
	// relayTimeout bounds a call that a peer makes to the store for this gateway.
	relayTimeout = 1200 * time.Millisecond
	// lookupTimeout bounds a question to the planner.
	lookupTimeout = 400 * time.Millisecond
	// storeTimeout bounds what a caller's call may wait for the store.
	storeTimeout = 1800 * time.Millisecond
)
