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

// Limits on the records of attempts that must not run twice. maxAttemptAge plus
// maxClockSkew must be less than the lifetime of an idempotency key's claim; see
// attempts.TableConfig.
const (
	maxAttemptEntries     = 65536
	maxAttemptAnswerBytes = 32 << 20
	maxAttemptAge         = 5 * time.Minute
	maxClockSkew          = time.Minute
)

// defaultIsolationTimeout applies until the agent has a document and equals the
// document's default. A shorter one would stop gangs needlessly; with a longer one a gang
// could still run when its successor starts.
const defaultIsolationTimeout = 10 * time.Second

// reportCoalesceDelay is the minimum time between two reports to one entry.
const reportCoalesceDelay = 20 * time.Millisecond

// Agent is a running agent. Its methods are safe for concurrent use.
type Agent struct {
	cfg         settings.Agent
	log         *logrus.Entry
	incarnation uint64

	tomb          tomb.Tomb
	endpoint      *wire.Endpoint
	pool          *wire.Pool
	targetClient  *target.Client
	quickExecutor *quickExecutor
	gangRunner    *gangRunner
	documents     *document.ActiveSet
	reporter      *reporter
	metrics       *metrics.Set
	draining      atomic.Bool
}

// Start starts an agent. The caller ends it with Stop or Close.
func Start(cfg settings.Agent, log *logrus.Entry) (*Agent, error) {
	a := &Agent{
		cfg:          cfg,
		log:          log.WithField("agent", cfg.ID),
		incarnation:  uint64(time.Now().UnixNano()),
		targetClient: target.NewClient(target.Options{BaseURL: cfg.Target, MaxConns: cfg.Connections}),
		metrics:      metrics.New(0),
	}
	a.documents = document.NewActiveSet(a.documentChanged)
	a.quickExecutor = a.newQuickExecutor()
	a.gangRunner = a.newGangRunner()
	a.reporter = newReporter(a)
	if err := a.listen(); err != nil {
		return nil, err
	}
	a.registerGauges()
	a.tomb.Go(func() error {
		a.gangRunner.start()
		a.tomb.Go(a.startReporting)
		return nil
	})
	a.log.WithFields(logrus.Fields{"address": a.endpoint.Addr(), "incarnation": a.incarnation}).Info("agent started")
	return a, nil
}

// startReporting starts the reports once the target's tasks are known.
//
// A report of a new incarnation that lists no tasks proves to the planner that the tasks
// of the previous incarnation are gone. Sent too early, it would make the planner give
// up a gang that still runs and start its job a second time.
func (a *Agent) startReporting() error {
	select {
	case <-a.gangRunner.tasksRecovered:
		a.reporter.start()
	case <-a.tomb.Dying():
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
	a.endpoint, err = wire.Listen(a.cfg.Listen, id, wire.HandlerFunc(a.handle))
	if err != nil {
		return err
	}
	a.pool = wire.NewPool(a.endpoint)
	return nil
}

func (a *Agent) newQuickExecutor() *quickExecutor {
	return &quickExecutor{
		gate:          newAdmissionGate(admission.Options{Slots: a.cfg.Slots}),
		targetClient:  a.targetClient,
		accountWeight: a.accountWeight,
		attempts: attempts.NewTable(attempts.TableConfig{
			Incarnation:    a.incarnation,
			MaxEntries:     maxAttemptEntries,
			MaxAnswerBytes: maxAttemptAnswerBytes,
			MaxAge:         maxAttemptAge,
			MaxClockSkew:   maxClockSkew,
		}),
		runningAttempts: make(map[attempts.ID]chan struct{}),
		observeDuration: a.metrics.Observe,
		now:             time.Now,
	}
}

func (a *Agent) newGangRunner() *gangRunner {
	return &gangRunner{
		tomb:         &a.tomb,
		log:          a.log,
		targetClient: a.targetClient,
		workQueue:    make(chan func(), workQueueSize),

		tasksRecovered: make(chan struct{}),
		incarnation:    a.incarnation,

		member: gang.NewMember(gang.MemberConfig{
			Accelerators:     a.cfg.Accelerators,
			Incarnation:      a.incarnation,
			IsolationTimeout: defaultIsolationTimeout,
		}),
		pushReply:    a.pushReply,
		stateChanged: func(m *gang.Member) { a.reporter.setTasks(m.Tasks(), m.Fence(), m.Timestamp()) },
	}
}

// accountWeight returns the client account's weight in the active document, or 1.
func (a *Agent) accountWeight(account string) int {
	active, ok := a.documents.Current(a.cfg.Service)
	if !ok {
		return 1
	}
	acc, ok := active.Document.Account(account)
	if !ok {
		return 1
	}
	return acc.Weight
}

// documentChanged applies a new generation of the service's document and reports it.
func (a *Agent) documentChanged(_, active *document.ActiveVersion) {
	if active.Version.Service != a.cfg.Service {
		return
	}
	a.log.WithField("generation", active.Version.Generation).Info("active document changed")
	a.quickExecutor.gate.postEvent(admissionPolicy(active.Document))
	a.gangRunner.setIsolationTimeout(active.Document.Gang.IsolationTimeout.Duration)
	a.reporter.updateGenerations()
	a.reporter.pushDocument(active)
}

// Drain makes the agent refuse new work and report that it is draining.
func (a *Agent) Drain() {
	if a.draining.Swap(true) {
		return
	}
	a.log.Info("draining: refusing new work")
	a.quickExecutor.gate.postEvent(admission.Drain{})
	a.gangRunner.postEvent(gang.Drain{})
	a.reporter.setDraining()
}

// Stop drains the agent, waits until its work has ended or ctx is done, sends a
// departure notice and closes the agent. It returns ctx's error if work was still in
// progress; gang tasks then continue at the target under their leases.
func (a *Agent) Stop(ctx context.Context) error {
	a.Drain()
	err := a.waitIdle(ctx)
	a.reporter.sendDeparture(ctx)
	if drainErr := a.endpoint.Drain(ctx); err == nil {
		err = drainErr
	}
	a.Close()
	return err
}

// idlePollInterval is how often a stopping agent checks whether its work has ended.
const idlePollInterval = 20 * time.Millisecond

func (a *Agent) waitIdle(ctx context.Context) error {
	for a.hasWork(ctx) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(idlePollInterval):
		}
	}
	return nil
}

func (a *Agent) hasWork(ctx context.Context) bool {
	running, queued := a.quickExecutor.gate.depth()
	return running+queued > 0 || a.gangRunner.hasActiveTasks(ctx)
}

// Close ends the agent without draining it.
func (a *Agent) Close() {
	a.tomb.Kill(nil)
	a.pool.Close()
	_ = a.endpoint.Close()
	_ = a.tomb.Wait()
	a.quickExecutor.gate.stopTimer()
	a.targetClient.Close()
	a.log.Info("agent stopped")
}

// Addr returns the address the agent listens on.
func (a *Agent) Addr() string { return a.endpoint.Addr() }

// reportJitter returns a random number in [0, 1) that spreads reports over time.
func reportJitter() float64 { return rand.Float64() }
