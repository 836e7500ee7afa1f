package planner

import (
	"context"
	"errors"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

var errUnreachable = errors.New("agent unreachable")

// fakeAgents is a set of gang members without targets: a task runs until the
// test ends it.
type fakeAgents struct {
	mu              sync.Mutex
	members         map[string]*gang.Member
	running         map[string][]gang.ID // by agent
	starts          map[string]int       // by job
	unreachableFrom map[uint64]bool      // epochs of planners whose messages are lost
}

func newFakeAgents(names ...string) *fakeAgents {
	f := &fakeAgents{
		members:         make(map[string]*gang.Member),
		running:         make(map[string][]gang.ID),
		starts:          make(map[string]int),
		unreachableFrom: make(map[uint64]bool),
	}
	for _, n := range names {
		m := gang.NewMember(gang.MemberConfig{Accelerators: 8, Incarnation: 1, IsolationTimeout: time.Hour})
		m.Step(clock.Now(), gang.TasksRecovered{})
		f.members[n] = m
	}
	return f
}

// disconnect removes an agent: its reports and messages to it are lost.
func (f *fakeAgents) disconnect(name string) *gang.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[name]
	delete(f.members, name)
	return m
}

// connect adds an agent.
func (f *fakeAgents) connect(name string, m *gang.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[name] = m
}

// SendGangMessage implements AgentClient.
func (f *fakeAgents) SendGangMessage(_ context.Context, agent string, msg gang.Message) (gang.Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[agent]
	if m == nil || f.unreachableFrom[msg.Head().Sender] {
		return gang.Reply{}, errUnreachable
	}
	return f.step(agent, gang.Received{From: "planner", Message: msg}), nil
}

func (f *fakeAgents) step(agent string, ev gang.MemberEvent) gang.Reply {
	var reply gang.Reply
	for _, a := range f.members[agent].Step(clock.Now(), ev) {
		switch a := a.(type) {
		case gang.SendReply:
			reply = a.Reply
		case gang.StartTask:
			f.running[agent] = append(f.running[agent], a.Task.ID)
			f.starts[a.Task.ID.Job]++
			f.step(agent, gang.TaskStarted{ID: a.Task.ID})
		case gang.StopTask:
			f.step(agent, gang.TaskEnded{ID: a.ID, Result: gang.TaskStopped})
		}
	}
	return reply
}

// finish ends every running task with success.
func (f *fakeAgents) finish() { f.endAll(gang.Succeeded) }

// endAll ends every running task.
func (f *fakeAgents) endAll(r gang.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for agent, ids := range f.running {
		for _, id := range ids {
			f.step(agent, gang.TaskEnded{ID: id, Result: r})
		}
		f.running[agent] = nil
	}
}

// allFenced reports whether all agents refuse planners with epochs below this
// one.
func (f *fakeAgents) allFenced(epoch uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.Fence() < epoch {
			return false
		}
	}
	return true
}

// drain makes an agent refuse new reservations.
func (f *fakeAgents) drain(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.step(name, gang.Drain{})
}

// reach makes the agents receive the messages of a planner from now on.
func (f *fakeAgents) reach(epoch uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.unreachableFrom, epoch)
}

func (f *fakeAgents) startsOf(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[job]
}

// report passes the current reports of all agents to a planner.
func (f *fakeAgents) report(p *Planner) { f.reportExcept(p, "") }

// reportExcept passes the current reports of all agents but one to a planner.
func (f *fakeAgents) reportExcept(p *Planner, silent string) {
	f.mu.Lock()
	var all []AgentReport
	for name, m := range f.members {
		if name == silent {
			continue
		}
		all = append(all, AgentReport{
			Worker:      scheduler.Worker{ID: scheduler.WorkerID(name), Zone: "z", Rack: "r", Accelerators: 8, Cores: 32, MemoryMB: 65536},
			Incarnation: 1,
			Fence:       m.Fence(),
			Tasks:       m.Tasks(),
			ReceivedAt:  clock.Now(),
		})
	}
	f.mu.Unlock()
	for _, s := range all {
		p.HandleReport(s)
	}
}

// bench is a store stand-in with the job records in it, and a document.
type bench struct {
	c        *qt.C
	server   *standin.Server
	store    store.Store
	jobs     *jobs.Store
	document *document.ActiveVersion
}

func newBench(t *testing.T) *bench {
	c := qt.New(t)
	server := standin.New(standin.Options{ProgressInterval: 50 * time.Millisecond})
	http := httptest.NewServer(server)
	kv := store.NewClient(store.Options{Endpoints: []string{http.URL}, CallTimeout: time.Minute, WatchIdleTimeout: time.Second})
	swaps := store.NewBatcher(kv, 0)
	c.Cleanup(func() {
		swaps.Close()
		kv.Close()
		server.Close()
		http.Close()
	})
	text, err := os.ReadFile("../testdata/documents/dispatch.toml")
	c.Assert(err, qt.IsNil)
	doc, err := document.Parse("dispatch.toml", text)
	c.Assert(err, qt.IsNil)
	return &bench{
		c:        c,
		server:   server,
		store:    kv,
		jobs:     jobs.NewStore("r", kv, swaps),
		document: &document.ActiveVersion{Document: doc, Version: document.Version{Generation: 1}},
	}
}

func (b *bench) planner(epoch uint64, agents *fakeAgents) *Planner {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	p := Start(Config{
		Service:   "dispatch",
		Epoch:     epoch,
		Store:     b.store,
		Jobs:      b.jobs,
		Agents:    agents,
		Metrics:   metrics.New(0),
		Log:       logrus.NewEntry(log),
		Document:  b.document,
		Retention: noRetention{},
	})
	b.c.Cleanup(p.Stop)
	return p
}

func (b *bench) accept(id string, accelerators int, repeatable bool) {
	b.acceptAt(id, accelerators, repeatable, time.Now())
}

// acceptLongWaiting accepts a job that has waited long enough to be given a
// permit.
func (b *bench) acceptLongWaiting(id string, accelerators int, repeatable bool) {
	b.acceptAt(id, accelerators, repeatable, time.Now().Add(-2*permitDelay))
}

func (b *bench) acceptAt(id string, accelerators int, repeatable bool, at time.Time) {
	_, err := b.jobs.Accept(context.Background(), jobs.Record{
		ID:        id,
		Service:   "dispatch",
		Submitted: at,
		Spec: jobs.Spec{
			Account:      "harbourline",
			Class:        "risk-scoring",
			Accelerators: accelerators,
			Adjacency:    "any",
			Repeatable:   repeatable,
		},
	})
	b.c.Assert(err, qt.IsNil)
}

func (b *bench) state(id string) jobs.State {
	r, err := b.jobs.Get(context.Background(), "dispatch", id)
	if err != nil {
		return ""
	}
	return r.State
}

// eventually calls step until done returns true, and fails the test after a
// generous timeout.
func (b *bench) eventually(what string, step func(), done func() bool) {
	b.c.Helper()
	for range 6000 {
		step()
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.c.Fatalf("never happened: %s", what)
}

type noRetention struct{}

func (noRetention) Current(context.Context) (store.LeaseID, error) { return 0, nil }
func (noRetention) Invalidate(store.LeaseID)                       {}
