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

// Story: the instance with the relay of a rack dies without a word. No target of
// the rack may look dead because of it: the other agents find their reports
// unanswered and report themselves, long before any entry suspects them.
func TestRelayKilled(t *testing.T) {
	testRelayFailure(t, syscall.SIGKILL)
}

// Story: the relay's process stands still; its sockets go on taking packets, and
// its connections stay open. Its members hear no answer and report themselves.
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
	r.waitOnAllEntries("all report by the relay", reportVia(ids[0], ids[1:]), nil)
	c.Assert(process.Signal(signal), qt.IsNil)
	r.waitOnAllEntries("all report themselves", reportVia("", ids[1:]), notAlive(ids[1:]))
}

// Story: the relay is replaced in a planned way. It drains, names itself no
// longer, and its members go on with the next one that entries name.
func TestRelayDrains(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := newTestRack(c, 1)
	ids := agentIDs(5)
	r.startAgents(ids...)
	r.waitOnAllEntries("all report by the relay", reportVia(ids[0], ids[1:]), nil)
	r.agents[ids[0]].Drain()
	r.waitOnAllEntries("the relay is not offered", func(seen map[string]api.Member) bool {
		return seen[ids[0]].State == "draining"
	}, notAlive(ids[1:]))
	r.waitOnAllEntries("all report by another one", func(seen map[string]api.Member) bool {
		reportsVia := map[string]int{}
		for _, id := range ids[1:] {
			reportsVia[seen[id].Relay]++
		}
		return reportsVia[ids[0]] == 0 && len(reportsVia) == 2 && reportsVia[""] == 1
	}, notAlive(ids[1:]))
}

// Story: an entry restarts and knows nobody. The relay has told its predecessor
// of all members, so that what it sends next are changes of what the entry does
// not know; it has to send all of each again.
func TestEntryRestartsBehindRelay(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := newTestRack(c, 2)
	ids := agentIDs(5)
	r.startAgents(ids...)
	r.waitOnAllEntries("all report by the relay", reportVia(ids[0], ids[1:]), nil)
	r.entries[1].Close()
	r.startEntry(1)
	r.waitOnAllEntries("all report by the relay again", reportVia(ids[0], ids[1:]), nil)
}

// Story: an operator changes the document. Entries send it to relays alone, and
// the relay has to bring it to its members.
func TestDocumentReachesRelayMembers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := newTestRack(c, 1)
	ids := agentIDs(5)
	r.startAgents(ids...)
	allAtGeneration := func(generation uint64) func(map[string]api.Member) bool {
		return func(seen map[string]api.Member) bool {
			for _, id := range ids {
				if seen[id].Generation != generation {
					return false
				}
			}
			return reportVia(ids[0], ids[1:])(seen)
		}
	}
	r.waitOnAllEntries("the first generation", allAtGeneration(1), nil)
	r.putDocument(1)
	r.waitOnAllEntries("the second generation", allAtGeneration(2), nil)
}

// Story: a gang runs on all workers of a rack whose relay dies. Its members are
// whole by the evidence of their own reports; if the relay had carried it, they
// would have stopped for isolation, and the gang would have run a second time.
func TestGangSurvivesRelayFailure(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := newTestRack(c, 2)
	ids := agentIDs(5)
	process := r.startAgentProcess(ids[0], 0) // no part of the gang
	r.startAgents(ids[1:]...)
	r.waitOnAllEntries("all report by the relay", reportVia(ids[0], ids[1:]), nil)
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
	time.Sleep(6 * time.Second) // longer than the isolation timeout: the relay is there, and must not be needed
	c.Assert(waitForState(api.JobRunning).Attempt, qt.Equals, 1)
	_ = process.Signal(syscall.SIGSTOP)
	c.Assert(waitForState(api.JobDone).Attempt, qt.Equals, 1)
}

// Story: a target is about to leave. Its relay has taken the news and dies before
// it passes it on. Callers must not be sent there for as long as that goes
// unnoticed: the agent tells the entries itself.
func TestDrainReachesEntriesWithoutRelay(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := newTestRack(c, 2)
	ids := agentIDs(5)
	relay := r.startFakeRelay(ids[0], ackWithEntries(r.entryConfigs[0].QUICListen, r.entryConfigs[1].QUICListen))
	r.startAgents(ids[1:]...)
	relay.waitForReports(ids[1:], 3)
	r.agents[ids[1]].Drain()
	r.waitOnAllEntries("the member is seen to drain", func(seen map[string]api.Member) bool {
		return seen[ids[1]].State == "draining"
	}, nil)
}

// Story: the relay has lost its way to one entry. That entry would take the whole
// rack for dead; the members report to it themselves.
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

// Story: entries name a relay whose instance is then given an older binary, which
// does not know what a report to an agent is. The members report themselves.
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

// waitForGeneration waits until the entry heard of the generation from all agents.
func (r *testRack) waitForGeneration(i int, ids []string, generation uint64) {
	r.Helper()
	waitUntil(r.C, r.entryConfigs[i].ID+" hears the agents", func() bool {
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
