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

var errNotHandled = eris.New("not a message for a stand-in agent")

const (
	reportTimeout  = time.Second
	reportCoalesce = 20 * time.Millisecond
)

// standinAgent is a stand-in of an agent: the transport, the reporter and the documents
// are the real ones, quick requests and gangs are left out. It reports to one
// entry, by itself or by the relay that the entry names, and is no relay.
type standinAgent struct {
	fleet *Fleet
	tomb  tomb.Tomb
	ep    *wire.Endpoint
	pool  *wire.Pool
	docs  *document.ActiveSet

	kickEntry, kickRelay chan struct{}

	mu        sync.Mutex
	state     wire.AgentReport
	announcer *membership.ReportRouter
	admitted  bool
}

func startStandin(f *Fleet, id, service, rack string) (*standinAgent, error) {
	a := &standinAgent{fleet: f, kickEntry: make(chan struct{}, 1), kickRelay: make(chan struct{}, 1)}
	a.docs = document.NewActiveSet(a.documentChanged)
	peer := wire.Peer{ID: id, Role: wire.RoleAgent, Incarnation: uint64(time.Now().UnixNano()), Region: region, Zone: "z1", Version: wire.Version}
	identity, err := wire.NewIdentity(peer, []byte(clusterKey))
	if err != nil {
		return nil, err
	}
	a.ep, err = wire.Config{ListenPacket: f.Traffic.Listen}.Listen(loopback, identity, wire.HandlerFunc(a.handle))
	if err != nil {
		return nil, err
	}
	a.pool = wire.NewPool(a.ep)
	a.state = wire.AgentReport{
		ID: id, Incarnation: peer.Incarnation, Service: service, Region: region, Zone: "z1", Rack: rack, Address: a.ep.Addr(),
		Accelerators: 8, Slots: 8, Connections: 64, Cores: 32, MemoryMB: 65536,
	}
	cfg := membership.ReportRouterConfig{
		ReporterConfig: membership.ReporterConfig{Period: f.every, Coalesce: reportCoalesce},
		MaxEntries:     1,
	}
	a.announcer = membership.NewReportRouter(cfg, a.state, rand.Float64)
	a.announcer.AddEntry(f.entry)
	a.tomb.Go(func() error {
		a.tomb.Go(func() error { return a.loop(a.kickEntry, a.untilDue, a.report) })
		a.tomb.Go(func() error { return a.loop(a.kickRelay, a.untilRelayDue, a.reportToRelay) })
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
	a.fleet.inForce(now.Version.Generation)
	a.set(func(s *wire.AgentReport) {
		s.Generations = []wire.DocumentSummary{now.Version.Summary()}
	})
	a.wake()
}

func (a *standinAgent) wake() {
	for _, kick := range []chan struct{}{a.kickEntry, a.kickRelay} {
		select {
		case kick <- struct{}{}:
		default:
		}
	}
}

func (a *standinAgent) set(change func(*wire.AgentReport)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(&a.state)
	a.announcer.SetState(time.Now(), a.state)
}

func (a *standinAgent) loop(kick <-chan struct{}, until func() time.Duration, report func()) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-a.tomb.Dying():
			return nil
		case <-timer.C:
		case <-kick:
		}
		if wait := until(); wait > 0 {
			timer.Reset(wait)
			continue
		}
		report()
		timer.Reset(until())
	}
}

func (a *standinAgent) untilDue() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	due := a.announcer.Due(now, a.fleet.entry)
	if a.announcer.ConnectionIdle(now, a.fleet.entry) {
		a.tomb.Go(func() error {
			_ = a.pool.Drain(a.tomb.Context(context.Background()), a.fleet.entry) // the stand-in ends
			return nil
		})
	}
	return due.Sub(now)
}

// load changes the load, where the fleet's does.
func (a *standinAgent) load() {
	if a.fleet.loads {
		a.set(func(s *wire.AgentReport) { s.Load.Queued++ })
	}
}

func (a *standinAgent) call(addr string, msg *wire.Report) (*wire.ReportAck, bool) {
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), reportTimeout)
	defer cancel()
	got, err := a.pool.Call(ctx, addr, msg)
	ack, ok := got.(*wire.ReportAck)
	return ack, err == nil && ok
}

func (a *standinAgent) report() {
	a.load()
	a.mu.Lock()
	msg := a.announcer.Report(time.Now(), a.fleet.entry)
	a.mu.Unlock()
	ack, ok := a.call(a.fleet.entry, msg)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !ok {
		a.fleet.Failed.Add(1)
		a.announcer.HandleFailure(time.Now(), a.fleet.entry)
		return
	}
	a.fleet.Reports.Add(1)
	if !a.admitted && len(ack.Refused) == 0 {
		a.admitted = true
		a.fleet.Admitted.Add(1)
	}
	a.fleet.Refused.Add(int64(len(ack.Refused)))
	a.announcer.HandleAck(time.Now(), a.fleet.entry, ack)
	a.wake()
}

func (a *standinAgent) untilRelayDue() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	due, ok := a.announcer.RelayDue(now)
	if !ok {
		return time.Minute // report wakes
	}
	return due.Sub(now)
}

func (a *standinAgent) reportToRelay() {
	a.load()
	a.mu.Lock()
	to, ok := a.announcer.Relay()
	if !ok {
		a.mu.Unlock()
		return
	}
	msg := a.announcer.ReportToRelay(time.Now())
	a.mu.Unlock()
	ack, ok := a.call(to.Address, msg)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !ok {
		a.announcer.HandleRelayFailure(time.Now(), to)
		a.wake()
		return
	}
	a.fleet.RelayReports.Add(1)
	a.announcer.HandleRelayAck(time.Now(), to, ack)
}

func (a *standinAgent) stop() {
	a.tomb.Kill(nil)
	a.pool.Close()
	_ = a.ep.Close()
	_ = a.tomb.Wait()
}
