package agent_test

import (
	"context"
	"encoding/json"
	"errors"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// The process of a rack's relay is killed. The other agents must report directly before
// any entry considers one of them unresponsive.
func TestRelayKilled(t *testing.T) {
	testRelayFailure(t, syscall.SIGKILL)
}

// The relay's process is suspended, so that its connections stay open. Its members must
// notice that their reports are not answered and report directly.
func TestRelaySuspended(t *testing.T) {
	testRelayFailure(t, syscall.SIGSTOP)
}

func testRelayFailure(t *testing.T, signal syscall.Signal) {
	t.Parallel()
	c := qt.New(t)
	r := newTestRack(c, 2)
	ids := agentIDs(5)
	process := r.startAgentProcess(ids[0], 8)
	r.startAgents(ids[1:]...)
	r.waitOnAllEntries("all members report through the relay", reportVia(ids[0], ids[1:]), nil)
	c.Assert(process.Signal(signal), qt.IsNil)
	r.waitOnAllEntries("all members report directly", reportVia("", ids[1:]), notAlive(ids[1:]))
}

// When a relay drains, its members must switch to the next relay that entries name.
func TestRelayDrains(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := newTestRack(c, 1)
	ids := agentIDs(5)
	r.startAgents(ids...)
	r.waitOnAllEntries("all members report through the relay", reportVia(ids[0], ids[1:]), nil)
	r.agents[ids[0]].Drain()
	r.waitOnAllEntries("the relay is seen draining", func(agents map[string]api.Member) bool {
		return agents[ids[0]].State == "draining"
	}, notAlive(ids[1:]))
	r.waitOnAllEntries("all members report through another relay", func(agents map[string]api.Member) bool {
		reportsVia := map[string]int{}
		for _, id := range ids[1:] {
			reportsVia[agents[id].Relay]++
		}
		return reportsVia[ids[0]] == 0 && len(reportsVia) == 2 && reportsVia[""] == 1
	}, notAlive(ids[1:]))
}

// A restarted entry does not know the members of a relay, so that changes are not enough:
// the relay must send it full reports again.
func TestEntryRestartsBehindRelay(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := newTestRack(c, 2)
	ids := agentIDs(5)
	r.startAgents(ids...)
	r.waitOnAllEntries("all members report through the relay", reportVia(ids[0], ids[1:]), nil)
	r.entries[1].Close()
	r.startEntry(1)
	r.waitOnAllEntries("all members report through the relay again", reportVia(ids[0], ids[1:]), nil)
}

// Entries send a new document only to relays, which must pass it to their members.
func TestDocumentReachesRelayMembers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := newTestRack(c, 1)
	ids := agentIDs(5)
	r.startAgents(ids...)
	allAtGeneration := func(generation uint64) func(map[string]api.Member) bool {
		return func(agents map[string]api.Member) bool {
			for _, id := range ids {
				if agents[id].Generation != generation {
					return false
				}
			}
			return reportVia(ids[0], ids[1:])(agents)
		}
	}
	r.waitOnAllEntries("all agents have the first generation", allAtGeneration(1), nil)
	r.putDocument(1)
	r.waitOnAllEntries("all agents have the second generation", allAtGeneration(2), nil)
}

// A gang must not depend on the relay: if its members' reports went through it, they would
// stop for isolation when it dies, and the gang would run a second time.
func TestGangSurvivesRelayFailure(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := newTestRack(c, 2)
	ids := agentIDs(5)
	process := r.startAgentProcess(ids[0], 0) // has no accelerators, so it is not part of the gang
	r.startAgents(ids[1:]...)
	r.waitOnAllEntries("all members report through the relay", reportVia(ids[0], ids[1:]), nil)
	client := api.NewClient("http://"+r.entries[0].HTTPAddr(), nil)
	ctx := context.Background()
	waitUntil(c, "the entry is ready", func() bool { return client.Ready(ctx) == nil })
	payload, err := json.Marshal(standin.TaskPayload{Tag: "gang", RunMS: (14 * time.Second).Milliseconds()})
	c.Assert(err, qt.IsNil)
	job, err := client.SubmitJob(ctx, serviceName, api.JobRequest{Account: "grower", Class: "score", Accelerators: 24, Payload: payload}, "k")
	c.Assert(err, qt.IsNil)
	waitForState := func(state api.JobState) (last api.JobStatus) {
		waitUntil(c, "the job is "+string(state), func() bool {
			last, err = client.GetJob(ctx, serviceName, job.ID, 0)
			return err == nil && last.State == state
		})
		return last
	}
	waitForState(api.JobRunning)
	time.Sleep(6 * time.Second) // longer than the isolation timeout: the gang must not need the running relay
	c.Assert(waitForState(api.JobRunning).Attempt, qt.Equals, 1)
	_ = process.Signal(syscall.SIGSTOP)
	c.Assert(waitForState(api.JobDone).Attempt, qt.Equals, 1)
}

// A relay receives the report that a member drains, but does not pass it on. The member
// must tell the entries itself, so that no more requests are sent to it.
func TestDrainReachesEntriesWithoutRelay(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := newTestRack(c, 2)
	ids := agentIDs(5)
	relay := r.startFakeRelay(ids[0], ackWithEntries(r.entryConfigs[0].QUICListen, r.entryConfigs[1].QUICListen))
	r.startAgents(ids[1:]...)
	relay.waitForReports(ids[1:], 3)
	r.agents[ids[1]].Drain()
	r.waitOnAllEntries("the member is seen draining", func(agents map[string]api.Member) bool {
		return agents[ids[1]].State == "draining"
	}, nil)
}

// A relay cannot reach one entry. The members must report to that entry directly, or it
// would consider the whole rack dead.
func TestRelayCannotReachEntry(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := newTestRack(c, 2)
	ids := agentIDs(5)
	relay := r.startFakeRelay(ids[0], ackWithEntries(r.entryConfigs[0].QUICListen))
	r.startAgents(ids[1:]...)
	relay.waitForReports(ids[1:], 3)
	r.putDocument(1)
	r.waitForGeneration(1, ids[1:], 2)
}

// The relay is replaced by an older version that does not understand reports of other
// agents. The members must report directly.
func TestRelayOfOlderVersion(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := newTestRack(c, 1)
	ids := agentIDs(5)
	relay := r.startFakeRelay(ids[0], func(wire.RelayInfo) (any, error) { return nil, errUnknownMessage })
	r.startAgents(ids[1:]...)
	relay.waitForReports(ids[1:], 1)
	r.putDocument(1)
	r.waitForGeneration(0, ids[1:], 2)
}

var errUnknownMessage = errors.New("not a message for an agent")

// waitForGeneration waits until entry i sees all agents alive with at least the given
// document generation.
func (r *testRack) waitForGeneration(i int, ids []string, generation uint64) {
	r.Helper()
	waitUntil(r.C, r.entryConfigs[i].ID+" sees the agents with the new generation", func() bool {
		updated := 0
		agents := r.agentsSeenBy(i)
		for _, id := range ids {
			if m := agents[id]; m.State == "alive" && m.Generation >= generation {
				updated++
			}
		}
		return updated == len(ids)
	})
}
