package agent

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshub/eelgrasshub/admission"
	"github.com/eelgrasshub/eelgrasshub/attempts"
	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/settings"
	"github.com/eelgrasshub/eelgrasshub/target"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Bounds of what an agent remembers of attempts that must not run twice. The
// age is far below the life of an idempotency key's claim, which its safety
// needs; see attempts.TableConfig.
const (
	attemptEntries = 65536
	attemptBytes   = 32 << 20
	attemptMaxAge  = 5 * time.Minute
	clockSkew      = time.Minute
)

// defaultIsolation holds until a document is in force: shorter than any loss
// timeout a document may name would make gangs stop needlessly, longer would let
// them run on beside their successors. It is the document's own default.
const defaultIsolation = 10 * time.Second

// reportCoalesce is the least time between two reports to one entry.
const reportCoalesce = 20 * time.Millisecond

// Agent is one running agent. Its methods are safe for concurrent use.
type Agent struct {
	cfg         settings.Agent
	log         *logrus.Entry
	incarnation uint64

	t        tomb.Tomb
	ep       *wire.Endpoint
	pool     *wire.Pool
	target   *target.Client
	quick    *quick
	gangs    *gangs
	docs     *document.ActiveSet
	reports  *reports
	metrics  *metrics.Set
	draining atomic.Bool
}

// Start starts an agent. Stop or Close ends it.
func Start(cfg settings.Agent, log *logrus.Entry) (*Agent, error) {
	a := &Agent{
		cfg:         cfg,
		log:         log.WithField("agent", cfg.ID),
		incarnation: uint64(time.Now().UnixNano()),
		target:      target.NewClient(target.Options{BaseURL: cfg.Target, MaxConns: cfg.Connections}),
		metrics:     metrics.New(0),
	}
	a.docs = document.NewActiveSet(a.documentChanged)
	a.quick = a.newQuick()
	a.gangs = a.newGangs()
	a.reports = newReports(a)
	if err := a.listen(); err != nil {
		return nil, err
	}
	a.gauges()
	a.t.Go(func() error {
		a.gangs.start()
		a.t.Go(a.announce)
		return nil
	})
	a.log.WithFields(logrus.Fields{"address": a.ep.Addr(), "incarnation": a.incarnation}).Info("agent started")
	return a, nil
}

// announce begins to report once the target's tasks are known.
//
// The failure this guards against: a restarted agent reports before it has asked its
// target what runs there. A report of a new incarnation that lists no task is the
// proof that the tasks of the earlier one are gone, so the planner gives up a gang
// that runs on, and starts its job again or tells its caller that nothing is known.
func (a *Agent) announce() error {
	select {
	case <-a.gangs.adopted:
		a.reports.start()
	case <-a.t.Dying():
	}
	return nil
}

func (a *Agent) listen() error {
	peer := wire.Peer{
		ID:          a.cfg.ID,
		Role:        wire.RoleAgent,
		Incarnation: a.incarnation,
		Region:      a.cfg.Region,
		Zone:        a.cfg.Zone,
		Version:     wire.Version,
		Address:     a.cfg.Listen,
	}
	id, err := wire.NewIdentity(peer, []byte(a.cfg.ClusterKey), a.cfg.AcceptedKeyBytes()...)
	if err != nil {
		return err
	}
	a.ep, err = wire.Listen(a.cfg.Listen, id, wire.HandlerFunc(a.handle))
	if err != nil {
		return err
	}
	a.pool = wire.NewPool(a.ep)
	return nil
}

func (a *Agent) newQuick() *quick {
	return &quick{
		gate:    newGate(admission.Options{Slots: a.cfg.Slots}),
		target:  a.target,
		weights: a.weight,
		table: attempts.NewTable(attempts.TableConfig{
			Incarnation:    a.incarnation,
			MaxEntries:     attemptEntries,
			MaxAnswerBytes: attemptBytes,
			MaxAge:         attemptMaxAge,
			MaxClockSkew:   clockSkew,
		}),
		running: make(map[attempts.ID]chan struct{}),
		observe: a.metrics.Observe,
		now:     time.Now,
	}
}

func (a *Agent) newGangs() *gangs {
	return &gangs{
		t:      &a.t,
		log:    a.log,
		target: a.target,
		work:   make(chan func(), memberQueue),

		adopted:     make(chan struct{}),
		incarnation: a.incarnation,

		member: gang.NewMember(gang.MemberConfig{
			Accelerators:     a.cfg.Accelerators,
			Incarnation:      a.incarnation,
			IsolationTimeout: defaultIsolation,
		}),
		push:    a.pushReply,
		changed: func(m *gang.Member) { a.reports.tasks(m.Tasks(), m.Fence(), m.Timestamp()) },
	}
}

// weight is the client account's weight by the document in force.
func (a *Agent) weight(account string) int {
	held, ok := a.docs.Current(a.cfg.Service)
	if !ok {
		return 1
	}
	acc, ok := held.Document.Account(account)
	if !ok {
		return 1
	}
	return acc.Weight
}

// documentChanged puts a new generation's weights in force and reports it.
func (a *Agent) documentChanged(_, now *document.ActiveVersion) {
	if now.Version.Service != a.cfg.Service {
		return
	}
	a.log.WithField("generation", now.Version.Generation).Info("document in force")
	a.quick.gate.event(admissionPolicy(now.Document))
	a.gangs.setIsolation(now.Document.Gang.IsolationTimeout.Duration)
	a.reports.generations()
	a.reports.spread(now)
}

// Drain makes the agent refuse new work and tell all entries so.
func (a *Agent) Drain() {
	if a.draining.Swap(true) {
		return
	}
	a.log.Info("draining: no new work")
	a.quick.gate.event(admission.Drain{})
	a.gangs.event(gang.Drain{})
	a.reports.drain()
}

// Stop drains, waits for the work in progress until ctx ends, says goodbye and
// ends the agent. It returns ctx's error if work was still in progress: gang
// tasks then run on at the target under their leases.
func (a *Agent) Stop(ctx context.Context) error {
	a.Drain()
	err := a.idle(ctx)
	a.reports.goodbye(ctx)
	if drainErr := a.ep.Drain(ctx); err == nil {
		err = drainErr
	}
	a.Close()
	return err
}

// idlePoll is how often a stopping agent looks whether its work has ended.
const idlePoll = 20 * time.Millisecond

func (a *Agent) idle(ctx context.Context) error {
	for a.busy(ctx) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(idlePoll):
		}
	}
	return nil
}

func (a *Agent) busy(ctx context.Context) bool {
	running, queued := a.quick.gate.depth()
	return running+queued > 0 || a.gangs.busy(ctx)
}

// Close ends the agent at once.
func (a *Agent) Close() {
	a.t.Kill(nil)
	a.pool.Close()
	_ = a.ep.Close()
	_ = a.t.Wait()
	a.quick.gate.stop()
	a.target.Close()
	a.log.Info("agent stopped")
}

// Addr returns the address the agent listens on.
func (a *Agent) Addr() string { return a.ep.Addr() }

// random is the jitter of reports.
func random() float64 { return rand.Float64() }
