package capacity

import (
	"context"
	"fmt"
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
// entry.
type standinAgent struct {
	fleet *Fleet
	tomb  tomb.Tomb
	ep    *wire.Endpoint
	pool  *wire.Pool
	docs  *document.InForce
	kick  chan struct{}

	mu       sync.Mutex
	state    wire.AgentReport
	reporter *membership.Reporter
	admitted bool
	known    uint64 // digest of the last answer with content; owned by loop
}

func startStandin(f *Fleet, id string, service string) (*standinAgent, error) {
	a := &standinAgent{fleet: f, kick: make(chan struct{}, 1)}
	a.docs = document.NewInForce(a.documentChanged)
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
		ID: id, Incarnation: peer.Incarnation, Service: service, Region: region, Zone: "z1", Rack: "r1", Address: a.ep.Addr(),
		Accelerators: 8, Slots: 8, Connections: 64, Cores: 32, MemoryMB: 65536,
	}
	a.reporter = membership.NewReporter(membership.ReporterConfig{Every: f.every, Coalesce: reportCoalesce}, a.state, rand.Float64)
	a.tomb.Go(a.loop)
	return a, nil
}

func (a *standinAgent) handle(_ context.Context, _ *wire.Conn, msg any) (any, error) {
	m, ok := msg.(*wire.Publish)
	if !ok {
		return nil, errNotHandled
	}
	for _, v := range m.Versions {
		a.docs.Offer(time.Now(), v)
	}
	return &wire.PublishAck{Generations: a.docs.Generations()}, nil
}

func (a *standinAgent) documentChanged(_, now *document.Held) {
	a.fleet.inForce(now.Version.Generation)
	a.set(func(s *wire.AgentReport) {
		s.Generations = []wire.Generation{now.Version.Summary()}
	})
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

func (a *standinAgent) set(change func(*wire.AgentReport)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(&a.state)
	a.reporter.Set(time.Now(), a.state)
}

func (a *standinAgent) loop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-a.tomb.Dying():
			return nil
		case <-timer.C:
		case <-a.kick:
		}
		if wait := a.untilDue(); wait > 0 {
			timer.Reset(wait)
			continue
		}
		a.report()
		timer.Reset(a.untilDue())
	}
}

func (a *standinAgent) untilDue() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	return a.reporter.Due(now, a.fleet.entry).Sub(now)
}

func (a *standinAgent) report() {
	if a.fleet.loads {
		a.set(func(s *wire.AgentReport) { s.Load.Queued++ })
	}
	a.mu.Lock()
	msg := a.reporter.Report(time.Now(), a.fleet.entry)
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), reportTimeout)
	defer cancel()
	got, err := a.pool.Call(ctx, a.fleet.entry, &wire.Report{Batch: a.batch(msg), Known: a.known})
	ack, ok := got.(*wire.ReportAck)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil || !ok {
		a.fleet.Failed.Add(1)
		a.reporter.Failed(time.Now(), a.fleet.entry)
		return
	}
	a.fleet.Reports.Add(1)
	if len(ack.NeedFull)+len(ack.Refused) > 0 && a.fleet.rack > 1 {
		a.reporter.Forget(a.fleet.entry) // all of the rack report in full again
		a.reporter.Failed(time.Now(), a.fleet.entry)
		return
	}
	if !a.admitted && len(ack.Refused) == 0 {
		a.admitted = true
		a.fleet.Admitted.Add(1)
	}
	a.fleet.Shed.Add(int64(len(ack.Refused)))
	a.known = ack.Digest
	a.reporter.Acked(time.Now(), a.fleet.entry, msg.Sequence, ack)
}

// batch is what a relay of the rack would send: the report of this agent, and
// the same of all others.
func (a *standinAgent) batch(msg wire.AgentReport) []wire.AgentReport {
	batch := []wire.AgentReport{msg}
	for i := 1; i < a.fleet.rack; i++ {
		other := msg
		other.ID = fmt.Sprintf("%s-%02d", msg.ID, i)
		batch = append(batch, other)
	}
	return batch
}

func (a *standinAgent) stop() {
	a.tomb.Kill(nil)
	a.pool.Close()
	_ = a.ep.Close()
	_ = a.tomb.Wait()
}
