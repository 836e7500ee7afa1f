package capacity

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/planner"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
	"github.com/eelgrasshub/eelgrasshub/store"
)

var errNoAgent = errors.New("no such agent")

// gangMembers holds the gang members of many workers, whose tasks run until the end of the
// measurement.
type gangMembers struct {
	mu      sync.Mutex
	members map[string]*gang.Member
}

func newGangMembers(n int) *gangMembers {
	g := &gangMembers{members: make(map[string]*gang.Member)}
	for i := range n {
		m := gang.NewMember(gang.MemberConfig{Accelerators: 8, Incarnation: 1, IsolationTimeout: time.Hour})
		m.Step(clock.Now(), gang.TasksRecovered{})
		g.members[fmt.Sprintf("agent-%05d", i)] = m
	}
	return g
}

// SendGangMessage implements planner.AgentClient.
func (g *gangMembers) SendGangMessage(_ context.Context, agent string, msg gang.Message) (gang.Reply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[agent]
	if m == nil {
		return gang.Reply{}, errNoAgent
	}
	var reply gang.Reply
	for _, a := range m.Step(clock.Now(), gang.Received{From: "planner", Message: msg}) {
		if a, ok := a.(gang.SendReply); ok {
			reply = a.Reply
		}
	}
	return reply, nil
}

func (g *gangMembers) reportAll(p *planner.Planner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, m := range g.members {
		p.HandleReport(planner.AgentReport{
			Worker:      scheduler.Worker{ID: scheduler.WorkerID(name), Zone: "z", Rack: "r", Accelerators: 8, Cores: 64, MemoryMB: 256_000},
			Incarnation: 1, Fence: m.Fence(), Timestamp: m.Timestamp(), Tasks: m.Tasks(), ReceivedAt: clock.Now(),
		})
	}
}

type noRetention struct{}

func (noRetention) Current(context.Context) (store.LeaseID, error) { return 0, nil }
func (noRetention) Invalidate(store.LeaseID)                       {}

// TestMeasureTakeover measures how long a new planner takes to recover all jobs of its
// predecessor, and the cost of a planner while nothing changes.
func TestMeasureTakeover(t *testing.T) {
	requireMeasure(t)
	for _, n := range []int{100, 1000, 5000} {
		t.Run(fmt.Sprintf("jobs=%d", n), func(t *testing.T) { measureTakeover(qt.New(t), n) })
	}
}

func measureTakeover(c *qt.C, n int) {
	region := newTestRegion(c)
	swaps := store.NewBatcher(region.client, 0)
	c.Cleanup(swaps.Close)
	store := jobs.NewStore(regionName, region.client, swaps)
	doc, err := document.Parse("service", documentText("service", 4))
	c.Assert(err, qt.IsNil)
	agents := newGangMembers(n/8 + 20)
	startPlanner := func(epoch uint64) *planner.Planner {
		return planner.Start(planner.Config{
			Service: "service", Epoch: epoch, Store: region.client, Jobs: store, Agents: agents, Metrics: metrics.New(0), Log: discardLogger(),
			Document: &document.ActiveVersion{Document: doc, Version: document.Version{Service: "service", Generation: 1}}, Retention: noRetention{},
		})
	}
	allRunning := func(p *planner.Planner) bool {
		total := 0
		for _, a := range p.Stats().Accounts {
			total += a.Running
		}
		return total == n
	}
	firstPlanner := startPlanner(1)
	agents.reportAll(firstPlanner)
	accept := func(i int) {
		_, err := store.Accept(context.Background(), jobs.Record{ID: fmt.Sprintf("job-%06d", i), Service: "service", Submitted: time.Now(),
			Spec: jobs.Spec{Account: fmt.Sprint("account-", i%4), Class: "long", Accelerators: 1, Adjacency: "any", Repeatable: true, Payload: []byte(`{"command":"score","input":"a line of about fifty bytes of payload"}`)}})
		c.Check(err, qt.IsNil)
	}
	calls, began := region.calls.Calls(), time.Now()
	var wg sync.WaitGroup
	const callers = 100
	for k := range callers {
		wg.Go(func() {
			for i := k; i < n; i += callers {
				accept(i)
			}
		})
	}
	wg.Wait()
	accepted := time.Since(began)
	eventually(c, "all jobs run", func() bool {
		agents.reportAll(firstPlanner)
		time.Sleep(100 * time.Millisecond)
		return allRunning(firstPlanner)
	})
	c.Logf("%d jobs: accepted in %v, all running after %v, calls a job %s | load %s", n, accepted.Round(time.Millisecond), time.Since(began).Round(time.Millisecond), callIncrease(region.calls.Calls(), calls, float64(n)), loadAverage())
	firstPlanner.Stop()
	lastJobID := fmt.Sprintf("job-%06d", n-1)
	for epoch := uint64(2); epoch < 5; epoch++ {
		calls, usageBefore := region.calls.Calls(), ReadUsage()
		began := time.Now()
		p := startPlanner(epoch)
		agents.reportAll(p)
		listed := eventually(c, "listed", func() bool { _, ok := p.Status(context.Background(), lastJobID); return ok })
		eventually(c, "all jobs run", func() bool { return allRunning(p) })
		resumed := time.Since(began)
		after := ReadUsage()
		callsAfter, idleUsage := region.calls.Calls(), ReadUsage()
		time.Sleep(4 * time.Second)
		idleProcessorTime := ReadUsage().ProcessorTimeSince(idleUsage)
		c.Logf("%d jobs: takeover: records listed and recovered after %v, all known to the scheduler (as published every 250 ms) after %v, processor %v (store stand-in included), heap grown %d KB; idle %.2f%% of a core; calls %s, idle %s a second | load %s",
			n, listed.Round(time.Millisecond), resumed.Round(time.Millisecond), after.ProcessorTimeSince(usageBefore).Round(time.Millisecond), (int64(after.Heap)-int64(usageBefore.Heap))>>10, 100*idleProcessorTime.Seconds()/4,
			callIncrease(callsAfter, calls, 1), callIncrease(region.calls.Calls(), callsAfter, 4), loadAverage())
		idleUsage = ReadUsage()
		const rounds = 20
		for range rounds {
			agents.reportAll(p)
			p.Status(context.Background(), lastJobID) // waits until the planner has handled the reports
		}
		reportProcessorTime := ReadUsage().ProcessorTimeSince(idleUsage)
		c.Logf("%d jobs: a report of 8 tasks costs the planner %.1f us", n, float64(reportProcessorTime.Microseconds())/rounds/float64(len(agents.members)))
		p.Stop()
	}
}
