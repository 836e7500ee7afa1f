package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// ConfigSource provides the operators' configuration and the cordons.
type ConfigSource interface {
	// Follow passes every version of the configuration and every change of the cordons to f,
	// and confirms which ones are current, until ctx ends.
	Follow(ctx context.Context, f *catalog.Current)
	// Decode parses a version as received from a peer.
	Decode(raw []byte) (*catalog.Catalog, error)
}

// Advisor is a client of the operators' advice service.
type Advisor interface {
	// Advise returns a ticket for each worker that may run the step, and how long the tickets
	// are valid. The call may take as long as the queue's policy allows.
	Advise(ctx context.Context, request engine.AdviceRequest) (tickets map[engine.WorkerID]string, valid time.Duration, err error)
}

// Config configures a Gateway.
type Config struct {
	ID     string
	Region string
	Zone   string
	Listen string // address of the QUIC endpoint, which peers and agents dial as well
	// Seeds are addresses of gateways that may or may not still exist.
	Seeds      []string
	ClusterKey []byte
	Store      store.TransactionalStore
	Source     ConfigSource
	// SinceStoreReply returns the time since the store last answered a call of this process.
	SinceStoreReply func() time.Duration
	// Advisor selects the workers that may run a step; nil if there is no advice service.
	Advisor Advisor
	Engine  engine.Params
	// KeyRevocationDelay is how long a revoked API key may still be accepted. A configuration
	// is used for authentication for less than that after its last confirmation.
	KeyRevocationDelay time.Duration
	// CordonDeadline is the time after the acknowledgement of a cordon by which nothing starts
	// in the zone any more. Zero selects DefaultCordonDeadline.
	CordonDeadline time.Duration
	// PlanningCapacity is the relative capacity of this instance for planning. Gateways with a
	// higher capacity are preferred successors of a failed planner. Zero means unknown.
	PlanningCapacity float64
	Log              logrus.FieldLogger
}

// DefaultCordonDeadline applies if Config.CordonDeadline is zero.
const DefaultCordonDeadline = 5 * time.Second

const (
	plannerLeaseName = "planner"
	// cordonMargin is subtracted from the cordon deadline. It leaves a start this time to reach
	// its worker after the cordons were checked.
	cordonMargin = 2 * time.Second
	// plannerLeaseTTL bounds how long there is no planner after the planner's instance failed.
	// It allows for several renewals against a slow store.
	plannerLeaseTTL = 2 * time.Second
	// plannerLeaseMaxPause bounds the pause between attempts to acquire the lease during a
	// store outage, and so the time without a planner after the store is back.
	plannerLeaseMaxPause = 300 * time.Millisecond
	// keyRevocationMargin is subtracted from KeyRevocationDelay to allow for store watches that
	// lag by up to a second and for clock drift.
	keyRevocationMargin = 1500 * time.Millisecond
	// peerInterval is how often a gateway exchanges state with the planner's gateway.
	peerInterval = 500 * time.Millisecond
	peerTimeout  = 400 * time.Millisecond
	// configTransferTimeout bounds the transfer of a configuration of one megabyte from a peer
	// over a slow link (2 Mbit/s).
	configTransferTimeout = 5 * time.Second
	// configStaleAfter is the time without a reply of the store after which a gateway asks its
	// peers for the configuration. The watch of the configuration returns once a second.
	configStaleAfter = 1300 * time.Millisecond
	// maxConfirmationAge is the age of the last confirmation above which a gateway asks its
	// peers even though the store replies. A watch confirms what was current when it began, so
	// a confirmation is up to two seconds old when the next one arrives.
	maxConfirmationAge = 2500 * time.Millisecond
	// memberTTL is how long a gateway counts as live after it was last heard from.
	memberTTL = 10 * time.Second
	// storeRetryAfter is how long a gateway works through peers after a store failure if no
	// other call shows that the store is back. The configuration is normally read every second
	// or more often, so this applies only if nothing reads it.
	storeRetryAfter = 2 * time.Second
	// maxRelayCandidates bounds the number of peers that a call is relayed through, one after
	// the other; the timeout of a call leaves time for two that do not answer.
	maxRelayCandidates = 8
	// relayTimeout bounds a store call that a peer makes for this gateway.
	relayTimeout = 1200 * time.Millisecond
	// lookupTimeout bounds a request to the planner.
	lookupTimeout = 400 * time.Millisecond
	// storeTimeout bounds the time that a client call waits for the store.
	storeTimeout = 1800 * time.Millisecond
)
