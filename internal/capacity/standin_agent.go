package capacity

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/membership"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

var errNotHandled = eris.New("message type not handled by a stand-in agent")

const (
	reportTimeout  = time.Second
	reportCoalesce = 20 * time.Millisecond
)

// standinAgent is an agent without quick requests and gangs. Its transport, reporting and
// documents are the real ones. It reports to one entry, directly or through the relay that the
// entry names, and does not act as a relay.
type standinAgent struct {
	fleet    *Fleet
	tomb     tomb.Tomb
	endpoint *wire.Endpoint
	pool     *wire.Pool
	docs     *document.ActiveSet

	wakeEntryLoop, wakeRelayLoop chan struct{}

	mu       sync.Mutex
	state    wire.AgentReport
	router   *membership.ReportRouter
	admitted bool
}

func startStandinAgent(f *Fleet, id, service, rack string) (*standinAgent, error) {
	a := &standinAgent{fleet: f, wakeEntryLoop: make(chan struct{}, 1), wakeRelayLoop: make(chan struct{}, 1)}
	a.docs = document.NewActiveSet(a.documentChanged)
	peer := wire.Peer{ID: id, Role: wire.RoleAgent, Incarnation: uint64(time.Now().UnixNano()), Region: regionName, Zone: "z1", Version: wire.Version}
	identity, err := wire.NewIdentity(peer, []byte(clusterKey))
	if err != nil {
		return nil, err
	}
	a.endpoint, err = wire.Config{ListenPacket: f.Traffic.Listen}.Listen(loopback, identity, wire.HandlerFunc(a.handle))
	if err != nil {
		return nil, err
	}
	a.pool = wire.NewPool(a.endpoint)
	a.state = wire.AgentReport{
		ID: id, Incarnation: peer.Incarnation, Service: service, Region: regionName, Zone: "z1", Rack: rack, Address: a.endpoint.Addr(),
		Accelerators: 8, Slots: 8, Connections: 64, Cores: 32, MemoryMB: 65536,
	}
	cfg := membership.ReportRouterConfig{
		ReporterConfig: membership.ReporterConfig{Period: f.reportPeriod, Coalesce: reportCoalesce},
		MaxEntries:     1,
	}
	a.router = membership.NewReportRouter(cfg, a.state, rand.Float64)
	a.router.AddEntry(f.entry)
	a.tomb.Go(func() error {
		a.tomb.Go(func() error { return a.runReportLoop(a.wakeEntryLoop, a.untilReportDue, a.report) })
		a.tomb.Go(func() error { return a.runReportLoop(a.wakeRelayLoop, a.untilRelayDue, a.reportToRelay) })
		return nil
	})
	return a, nil
}

func (a *standinAgent) handle(_ context.Context, _ *wire.Conn, msg any) (any, error) {
	m, ok := msg.(*wire.PublishDocuments)
	if !ok {
		return nil, errNotHandled
	}
	for _, v := range m.Versions {
		a.docs.Update(time.Now(), v)
	}
	return &wire.PublishDocumentsAck{Generations: a.docs.Summaries()}, nil
}

func (a *standinAgent) documentChanged(_, now *document.ActiveVersion) {
	a.fleet.recordApplied(now.Version.Generation)
	a.updateState(func(s *wire.AgentReport) {
		s.Generations = []wire.DocumentSummary{now.Version.Summary()}
	})
	a.wake()
}

func (a *standinAgent) wake() {
	for _, wakeChannel := range []chan struct{}{a.wakeEntryLoop, a.wakeRelayLoop} {
		select {
		case wakeChannel <- struct{}{}:
		default:
		}
	}
}

func (a *standinAgent) updateState(change func(*wire.AgentReport)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(&a.state)
	a.router.SetState(time.Now(), a.state)
}

func (a *standinAgent) runReportLoop(wake <-chan struct{}, untilDue func() time.Duration, report func()) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-a.tomb.Dying():
			return nil
		case <-timer.C:
		case <-wake:
		}
		if wait := untilDue(); wait > 0 {
			timer.Reset(wait)
			continue
		}
		report()
		timer.Reset(untilDue())
	}
}

func (a *standinAgent) untilReportDue() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	due := a.router.Due(now, a.fleet.entry)
	if a.router.ConnectionIdle(now, a.fleet.entry) {
		a.tomb.Go(func() error {
			_ = a.pool.Drain(a.tomb.Context(context.Background()), a.fleet.entry) // fails only when the stand-in stops
			return nil
		})
	}
	return due.Sub(now)
}

// varyLoad changes the reported load if the fleet is configured so.
func (a *standinAgent) varyLoad() {
	if a.fleet.varyLoad {
		a.updateState(func(s *wire.AgentReport) { s.Load.Queued++ })
	}
}

func (a *standinAgent) sendReport(addr string, msg *wire.Report) (*wire.ReportAck, bool) {
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), reportTimeout)
	defer cancel()
	got, err := a.pool.Call(ctx, addr, msg)
	ack, ok := got.(*wire.ReportAck)
	return ack, err == nil && ok
}

func (a *standinAgent) report() {
	a.varyLoad()
	a.mu.Lock()
	msg := a.router.Report(time.Now(), a.fleet.entry)
	a.mu.Unlock()
	ack, ok := a.sendReport(a.fleet.entry, msg)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !ok {
		a.fleet.Failed.Add(1)
		a.router.HandleFailure(time.Now(), a.fleet.entry)
		return
	}
	a.fleet.Reports.Add(1)
	if !a.admitted && len(ack.Refused) == 0 {
		a.admitted = true
		a.fleet.Admitted.Add(1)
	}
	a.fleet.Refused.Add(int64(len(ack.Refused)))
	a.router.HandleAck(time.Now(), a.fleet.entry, ack)
	a.wake()
}

func (a *standinAgent) untilRelayDue() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	due, ok := a.router.RelayDue(now)
	if !ok {
		return time.Minute // report wakes this loop after each answer
	}
	return due.Sub(now)
}

func (a *standinAgent) reportToRelay() {
	a.varyLoad()
	a.mu.Lock()
	to, ok := a.router.Relay()
	if !ok {
		a.mu.Unlock()
		return
	}
	msg := a.router.ReportToRelay(time.Now())
	a.mu.Unlock()
	ack, ok := a.sendReport(to.Address, msg)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !ok {
		a.router.HandleRelayFailure(time.Now(), to)
		a.wake()
		return
	}
	a.fleet.RelayReports.Add(1)
	a.router.HandleRelayAck(time.Now(), to, ack)
}

func (a *standinAgent) stop() {
	a.tomb.Kill(nil)
	a.pool.Close()
	_ = a.endpoint.Close()
	_ = a.tomb.Wait()
}
