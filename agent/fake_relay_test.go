package agent_test

import (
	"context"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// relayStandin is an agent that entries name as relay, and that answers its
// members as a test wants without passing anything on.
type relayStandin struct {
	c      *qt.C
	ep     *wire.Endpoint
	pool   *wire.Pool
	report wire.AgentReport
	answer func(self wire.RelayInfo) (any, error)
	done   chan struct{}

	mu    sync.Mutex
	count map[string]int // reports by agent
}

// answerFor answers as a relay that reaches the entries.
func answerFor(entries ...string) func(wire.RelayInfo) (any, error) {
	return func(self wire.RelayInfo) (any, error) {
		ack := &wire.ReportAck{Relay: self, Digest: 1}
		for _, addr := range entries {
			ack.Entries = append(ack.Entries, wire.EntryInfo{Address: addr})
		}
		return ack, nil
	}
}

func (r *rack) startStandin(id string, answer func(wire.RelayInfo) (any, error)) *relayStandin {
	s := &relayStandin{c: r.C, answer: answer, count: make(map[string]int), done: make(chan struct{})}
	peer := wire.Peer{ID: id, Role: wire.RoleAgent, Incarnation: 1, Region: "auckland", Zone: zone, Version: wire.Version}
	identity, err := wire.NewIdentity(peer, []byte(clusterKey))
	r.Assert(err, qt.IsNil)
	s.ep, err = wire.Listen(loopback, identity, wire.HandlerFunc(s.handle))
	r.Assert(err, qt.IsNil)
	s.pool = wire.NewPool(s.ep)
	s.report = wire.AgentReport{
		ID: id, Incarnation: 1, Sequence: 1, Full: true, Service: service, Region: "auckland", Zone: zone, Rack: rackName,
		Address: s.ep.Addr(), Slots: 8, CanRelay: true,
	}
	var wg sync.WaitGroup
	for _, e := range r.configs {
		wg.Go(func() { s.loop(e.QUICListen) })
	}
	r.Cleanup(func() {
		close(s.done)
		wg.Wait()
		s.pool.Close()
		_ = s.ep.Close()
	})
	return s
}

// loop reports the stand-in itself to an entry.
func (s *relayStandin) loop(entry string) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, _ = s.pool.Call(ctx, entry, &wire.Report{Reports: []wire.AgentReport{s.report}}) // an entry that starts answers the next one
		cancel()
		select {
		case <-s.done:
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (s *relayStandin) handle(_ context.Context, from *wire.Conn, msg any) (any, error) {
	if _, ok := msg.(*wire.Report); !ok {
		return &wire.PublishDocumentsAck{}, nil
	}
	s.mu.Lock()
	s.count[from.Peer().ID]++
	s.mu.Unlock()
	return s.answer(wire.RelayInfo{ID: s.report.ID, Incarnation: 1, Address: s.ep.Addr()})
}

// asked waits until each agent has sent so many reports to the stand-in.
func (s *relayStandin) asked(ids []string, times int) {
	s.c.Helper()
	until(s.c, "the agents report to the relay", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		done := 0
		for _, id := range ids {
			if s.count[id] >= times {
				done++
			}
		}
		return done == len(ids)
	})
}
