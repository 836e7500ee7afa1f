package agent_test

import (
	"context"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// fakeRelay is an agent that entries name as relay. It replies to its members as the test
// specifies and relays nothing.
type fakeRelay struct {
	c        *qt.C
	endpoint *wire.Endpoint
	pool     *wire.Pool
	report   wire.AgentReport
	reply    func(self wire.RelayInfo) (any, error)
	done     chan struct{}

	mu           sync.Mutex
	reportCounts map[string]int // number of reports by agent ID
}

// ackWithEntries returns a reply of a relay that reaches the given entries.
func ackWithEntries(entries ...string) func(wire.RelayInfo) (any, error) {
	return func(self wire.RelayInfo) (any, error) {
		ack := &wire.ReportAck{Relay: self, Digest: 1}
		for _, addr := range entries {
			ack.Entries = append(ack.Entries, wire.EntryInfo{Address: addr})
		}
		return ack, nil
	}
}

func (r *testRack) startFakeRelay(id string, reply func(wire.RelayInfo) (any, error)) *fakeRelay {
	s := &fakeRelay{c: r.C, reply: reply, reportCounts: make(map[string]int), done: make(chan struct{})}
	peer := wire.Peer{ID: id, Role: wire.RoleAgent, Incarnation: 1, Region: "auckland", Zone: zoneName, Version: wire.Version}
	identity, err := wire.NewIdentity(peer, []byte(clusterKey))
	r.Assert(err, qt.IsNil)
	s.endpoint, err = wire.Listen(loopbackAddress, identity, wire.HandlerFunc(s.handle))
	r.Assert(err, qt.IsNil)
	s.pool = wire.NewPool(s.endpoint)
	s.report = wire.AgentReport{
		ID: id, Incarnation: 1, Sequence: 1, Full: true, Service: serviceName, Region: "auckland", Zone: zoneName, Rack: rackName,
		Address: s.endpoint.Addr(), Slots: 8, CanRelay: true,
	}
	var wg sync.WaitGroup
	for _, e := range r.entryConfigs {
		wg.Go(func() { s.reportTo(e.QUICListen) })
	}
	r.Cleanup(func() {
		close(s.done)
		wg.Wait()
		s.pool.Close()
		_ = s.endpoint.Close()
	})
	return s
}

// reportTo reports the fake relay itself to an entry until the test ends.
func (s *fakeRelay) reportTo(entryAddr string) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, _ = s.pool.Call(ctx, entryAddr, &wire.Report{Reports: []wire.AgentReport{s.report}}) // an entry that is still starting answers a later one
		cancel()
		select {
		case <-s.done:
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (s *fakeRelay) handle(_ context.Context, from *wire.Conn, msg any) (any, error) {
	if _, ok := msg.(*wire.Report); !ok {
		return &wire.PublishDocumentsAck{}, nil
	}
	s.mu.Lock()
	s.reportCounts[from.Peer().ID]++
	s.mu.Unlock()
	return s.reply(wire.RelayInfo{ID: s.report.ID, Incarnation: 1, Address: s.endpoint.Addr()})
}

// waitForReports waits until each agent has sent minReports reports to the fake relay.
func (s *fakeRelay) waitForReports(ids []string, minReports int) {
	s.c.Helper()
	waitUntil(s.c, "the agents report to the relay", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		ready := 0
		for _, id := range ids {
			if s.reportCounts[id] >= minReports {
				ready++
			}
		}
		return ready == len(ids)
	})
}
