package agent_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/agent"
	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/document/schema"
	"github.com/eelgrasshub/eelgrasshub/entry"
	"github.com/eelgrasshub/eelgrasshub/internal/testport"
	"github.com/eelgrasshub/eelgrasshub/membership"
	"github.com/eelgrasshub/eelgrasshub/settings"
	"github.com/eelgrasshub/eelgrasshub/store"
	kvstandin "github.com/eelgrasshub/eelgrasshub/store/standin"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

const (
	serviceName     = "dispatch"
	zoneName        = "wharf"
	rackName        = "rack-1"
	clusterKey      = "key of a test on loopback"
	loopbackAddress = "127.0.0.1:0"
	// waitTimeout bounds the wait for a state. The tests do not check how long it takes.
	waitTimeout = time.Minute
)

// testRack is a rack of agents and the entries that they report to. The relay threshold
// of the entries is so low that every rack large enough gets a relay.
type testRack struct {
	*qt.C
	storeURL     string
	storeClient  *store.Client
	entries      []*entry.Entry
	entryConfigs []settings.Entry
	agents       map[string]*agent.Agent
}

func newTestRack(c *qt.C, entries int) *testRack {
	standinStore := kvstandin.New(kvstandin.Options{})
	storeServer := httptest.NewServer(standinStore)
	r := &testRack{C: c, storeURL: storeServer.URL, agents: make(map[string]*agent.Agent)}
	r.storeClient = store.NewClient(store.Options{Endpoints: []string{r.storeURL}, CallTimeout: 10 * time.Second, RateLimit: 1e6, Burst: 1e6})
	c.Cleanup(func() {
		r.storeClient.Close()
		standinStore.Close()
		storeServer.CloseClientConnections()
		storeServer.Close()
	})
	r.putDocument(0)
	for i := range entries {
		cfg := r.entryConfig(fmt.Sprint("entry-", i))
		r.entryConfigs = append(r.entryConfigs, cfg)
		r.entries = append(r.entries, nil)
		r.startEntry(i)
	}
	c.Cleanup(func() {
		for _, e := range r.entries {
			e.Close()
		}
	})
	return r
}

const documentText = `service = "dispatch"
owner = "Tests"
[[account]]
name = "grower"
[[class]]
name = "score"
kind = "job"
repeatable = true
max_run = "1h"
[gang]
isolation_timeout = "4s"
loss_timeout = "20s"
`

// putDocument stores the document generation that follows baseGeneration.
func (r *testRack) putDocument(baseGeneration uint64) {
	text := fmt.Appendf(nil, "%s# after %d\n", documentText, baseGeneration)
	_, err := document.Put(context.Background(), r.storeClient, document.Proposal{
		FileName: serviceName, TOML: text, BaseGeneration: baseGeneration, Author: "t", Token: uuid.NewString(), CreatedAt: time.Now(),
	})
	r.Assert(err, qt.IsNil)
}

func (r *testRack) entryConfig(id string) settings.Entry {
	return settings.Entry{
		ID: id, Region: "auckland", Zone: zoneName, HTTPListen: loopbackAddress, QUICListen: testport.Racks.FreeAddr(), ClusterKey: clusterKey,
		StoreURLs: []string{r.storeURL}, StoreTimeout: schema.Duration{Duration: 2 * time.Second}, StoreRateLimit: 500,
		ReportPeriod: schema.Duration{Duration: time.Second}, StopGrace: schema.Duration{Duration: time.Minute},
		RelayThreshold: 1,
	}
}

func (r *testRack) startEntry(i int) {
	e, err := entry.Start(r.entryConfigs[i], discardLogger())
	r.Assert(err, qt.IsNil)
	r.entries[i] = e
}

func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func (r *testRack) agentConfig(id string) settings.Agent {
	standinTarget := standin.New(standin.Options{Name: id, Accelerators: 8, ServiceTime: time.Millisecond})
	server := httptest.NewServer(standinTarget)
	r.Cleanup(func() {
		standinTarget.Close()
		server.CloseClientConnections()
		server.Close()
	})
	cfg := settings.Agent{
		ID: id, Service: serviceName, Region: "auckland", Zone: zoneName, Rack: rackName, Listen: loopbackAddress, ClusterKey: clusterKey,
		Target: server.URL, Accelerators: 8, Slots: 8, Connections: 64, Cores: 32, MemoryMB: 65536,
		ReportPeriod: schema.Duration{Duration: time.Second}, StopGrace: schema.Duration{Duration: time.Minute},
	}
	for _, e := range r.entryConfigs {
		cfg.Seeds = append(cfg.Seeds, e.QUICListen)
	}
	return cfg
}

// agentIDs returns n IDs of agents of the rack, first that of the agent that entries name
// as relay.
func agentIDs(n int) []string {
	view := &membership.ServiceView{Name: serviceName}
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("worker-", i))
		report := wire.AgentReport{ID: ids[i], Service: serviceName, Zone: zoneName, Rack: rackName, CanRelay: true}
		view.Members = append(view.Members, &membership.Member{Report: report})
	}
	relayID := membership.ChooseRelays(view, n)[membership.Rack{Zone: zoneName, Name: rackName}].ID
	for i, id := range ids {
		if id == relayID {
			ids[0], ids[i] = ids[i], ids[0]
		}
	}
	return ids
}

func (r *testRack) startAgents(ids ...string) {
	for _, id := range ids {
		a, err := agent.Start(r.agentConfig(id), discardLogger())
		r.Assert(err, qt.IsNil)
		r.agents[id] = a
		r.Cleanup(a.Close)
	}
}

// startAgentProcess starts an agent as a separate process, which a test can kill or
// suspend.
func (r *testRack) startAgentProcess(id string, accelerators int) *os.Process {
	cfg := r.agentConfig(id)
	cfg.Accelerators = accelerators
	text, err := json.Marshal(cfg)
	r.Assert(err, qt.IsNil)
	cmd := exec.Command(os.Args[0], "-test.run=^TestAgentProcess$")
	cmd.Env = append(os.Environ(), agentProcessEnv+"="+string(text))
	stdin, err := cmd.StdinPipe()
	r.Assert(err, qt.IsNil)
	r.Assert(cmd.Start(), qt.IsNil)
	r.Cleanup(func() {
		_ = stdin.Close()
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd.Process
}

const agentProcessEnv = "EELGRASSHUB_RACK_AGENT"

// TestAgentProcess runs the agent of startAgentProcess until its standard input is closed.
// It is skipped otherwise.
func TestAgentProcess(t *testing.T) {
	text := os.Getenv(agentProcessEnv)
	if text == "" {
		t.Skip("runs only as a subprocess of other tests")
	}
	c := qt.New(t)
	var cfg settings.Agent
	c.Assert(json.Unmarshal([]byte(text), &cfg), qt.IsNil)
	a, err := agent.Start(cfg, discardLogger())
	c.Assert(err, qt.IsNil)
	defer a.Close()
	_, _ = bufio.NewReader(os.Stdin).ReadString(0)
}

// agentsSeenBy returns the agents in the status of entry i, by ID.
func (r *testRack) agentsSeenBy(i int) map[string]api.Member {
	members := make(map[string]api.Member)
	status, err := api.NewClient("http://"+r.entries[i].HTTPAddr(), nil).Status(context.Background())
	r.Assert(err, qt.IsNil)
	for _, m := range status.Members {
		if m.Role == string(wire.RoleAgent) {
			members[m.ID] = m
		}
	}
	return members
}

// waitUntil polls until the condition holds, and fails the test after waitTimeout.
func waitUntil(c *qt.C, description string, condition func() bool) {
	c.Helper()
	for start := time.Now(); time.Since(start) < waitTimeout; time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.Fatalf("timed out waiting until %s", description)
}

// waitOnAllEntries waits until the condition holds for the agents seen by each entry. If
// invariant is not nil, it must return an empty string at each check.
func (r *testRack) waitOnAllEntries(description string, condition func(map[string]api.Member) bool, invariant func(map[string]api.Member) string) {
	r.Helper()
	waitUntil(r.C, description, func() bool {
		allReached := true
		for i := range r.entries {
			agents := r.agentsSeenBy(i)
			if invariant != nil {
				r.Assert(invariant(agents), qt.Equals, "", qt.Commentf("while waiting until %s", description))
			}
			allReached = allReached && condition(agents)
		}
		return allReached
	})
}

// reportVia returns a condition that all agents report through the given relay, or
// directly if it is empty.
func reportVia(relay string, ids []string) func(map[string]api.Member) bool {
	return func(agents map[string]api.Member) bool {
		for _, id := range ids {
			if m := agents[id]; m.ID == "" || m.Relay != relay {
				return false
			}
		}
		return true
	}
}

// notAlive returns an invariant that lists the agents that are not alive.
func notAlive(ids []string) func(map[string]api.Member) string {
	return func(agents map[string]api.Member) string {
		var problems []string
		for _, id := range ids {
			if m := agents[id]; m.State != "alive" {
				problems = append(problems, id+" is "+m.State)
			}
		}
		return strings.Join(problems, ", ")
	}
}
