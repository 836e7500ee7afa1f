package entry_test

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/document/schema"
	"github.com/eelgrasshub/eelgrasshub/entry"
	"github.com/eelgrasshub/eelgrasshub/settings"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

const service = "dispatch"

// twoEntries is a region of two entries and a store in which no lease expires: a
// leadership changes only when its lease is released or revoked.
type twoEntries struct {
	*qt.C
	client         *store.Client
	firstStore     *httptest.Server // the store as the first entry reaches it
	secondStoreURL string
}

func newTwoEntries(c *qt.C) *twoEntries {
	now := time.Now()
	srv := standin.New(standin.Options{Now: func() time.Time { return now }})
	firstServer, secondServer := httptest.NewServer(srv), httptest.NewServer(srv)
	s := &twoEntries{C: c, firstStore: firstServer, secondStoreURL: secondServer.URL, client: store.NewClient(store.Options{Endpoints: []string{secondServer.URL}})}
	c.Cleanup(func() {
		s.client.Close()
		srv.Close()
		for _, web := range []*httptest.Server{firstServer, secondServer} {
			web.CloseClientConnections()
			web.Close()
		}
	})
	text, err := os.ReadFile("../testdata/documents/dispatch.toml")
	c.Assert(err, qt.IsNil)
	_, err = document.Put(context.Background(), s.client, document.Proposal{
		FileName: service, TOML: text, Author: "t", Token: uuid.NewString(), CreatedAt: now,
	})
	c.Assert(err, qt.IsNil)
	return s
}

func (s *twoEntries) start(id, storeURL, advertise string) *entry.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	e, err := entry.Start(settings.Entry{
		ID: id, Region: "auckland", Zone: "z1", HTTPListen: "127.0.0.1:0", QUICListen: "127.0.0.1:0",
		Advertise: advertise, ClusterKey: "key of a test on loopback, long enough", StoreURLs: []string{storeURL},
		StoreTimeout: schema.Duration{Duration: time.Second}, StoreRateLimit: 500,
		ReportPeriod: schema.Duration{Duration: time.Second}, StopGrace: schema.Duration{Duration: time.Minute},
	}, logrus.NewEntry(log))
	s.Assert(err, qt.IsNil)
	s.Cleanup(e.Close)
	return e
}

// waitFor polls a condition; only the test's own timeout ends it.
func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

func (s *twoEntries) registrationCount() int {
	registrations, err := entry.ListRegistrations(context.Background(), s.client, "auckland")
	s.Assert(err, qt.IsNil)
	return len(registrations)
}

// leaseRevoked reports whether the entry has revoked the lease of one dead peer.
func leaseRevoked(e *entry.Entry) bool {
	w := httptest.NewRecorder()
	e.MetricsHandler().ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
	return strings.Contains(w.Body.String(), `"dead_entries_revoked": 1`)
}

// unresponsivePort returns a UDP port that never answers, and a channel with one item per
// packet received.
func unresponsivePort(c *qt.C) (net.PacketConn, <-chan struct{}) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	probes := make(chan struct{}, 1000)
	go func() {
		for {
			if _, _, err := conn.ReadFrom(make([]byte, 2000)); err != nil {
				return
			}
			probes <- struct{}{}
		}
	}()
	c.Cleanup(func() { conn.Close() })
	return conn, probes
}

// The planner's process dies while cut off from the store, so its lease is not released.
// Guards against waiting for the lease to expire although the process's port refuses.
func TestLeadershipOfDeadProcessIsTakenOver(t *testing.T) {
	s := newTwoEntries(qt.New(t))
	first := s.start("entry-1", s.firstStore.URL, "")
	waitFor(func() bool { return first.Epoch(service) == 1 })
	second := s.start("entry-2", s.secondStoreURL, "")
	waitFor(func() bool { return s.registrationCount() == 2 })
	s.Assert(s.firstStore.Listener.Close(), qt.IsNil)
	s.firstStore.CloseClientConnections()
	first.Close()
	waitFor(func() bool { return second.Epoch(service) == 2 })
	waitFor(func() bool { return leaseRevoked(second) })
	s.Check(s.registrationCount(), qt.Equals, 1)
}

// The only entry dies while cut off from the store and restarts under its id. Guards
// against the new incarnation waiting for the lease of the old one.
func TestRestartedEntryRegainsLeadership(t *testing.T) {
	s := newTwoEntries(qt.New(t))
	first := s.start("entry-1", s.firstStore.URL, "")
	waitFor(func() bool { return first.Epoch(service) == 1 })
	s.Assert(s.firstStore.Listener.Close(), qt.IsNil)
	s.firstStore.CloseClientConnections()
	first.Close()
	restarted := s.start("entry-1", s.secondStoreURL, "")
	waitFor(func() bool { return restarted.Epoch(service) == 2 })
	s.Check(s.registrationCount(), qt.Equals, 1)
}

// Guards against revoking the lease of an entry that is unresponsive but may still be
// planning.
func TestLeadershipOfUnresponsiveEntryIsKept(t *testing.T) {
	s := newTwoEntries(qt.New(t))
	port, probes := unresponsivePort(s.C)
	first := s.start("entry-1", s.firstStore.URL, port.LocalAddr().String())
	waitFor(func() bool { return first.Epoch(service) == 1 })
	second := s.start("entry-2", s.secondStoreURL, "")
	for range 8 {
		<-probes
	}
	s.Check(second.Epoch(service), qt.Equals, uint64(0))
	s.Check(leaseRevoked(second), qt.IsFalse)
	s.Check(s.registrationCount(), qt.Equals, 2)
}

// Guards against repeated revocation when something refuses in place of a live entry: the
// other entry leads under a higher epoch, and the first one registers again.
func TestFalseSuspicionRevokesLeaseOnce(t *testing.T) {
	s := newTwoEntries(qt.New(t))
	port, probes := unresponsivePort(s.C)
	first := s.start("entry-1", s.firstStore.URL, port.LocalAddr().String())
	waitFor(func() bool { return first.Epoch(service) == 1 })
	second := s.start("entry-2", s.secondStoreURL, "")
	<-probes
	s.Assert(port.Close(), qt.IsNil)
	waitFor(func() bool { return second.Epoch(service) == 2 })
	waitFor(func() bool { return s.registrationCount() == 2 })
	waitFor(func() bool { return leaseRevoked(second) })
}
