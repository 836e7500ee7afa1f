package gang

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	t0       = time.Unix(5000, 0)
	attempt1 = ID{"score", 1, 1}
)

func testConfig(epoch uint64) Config {
	return Config{
		Epoch:          epoch,
		ResendInterval: time.Second,
		HoldTimeout:    20 * time.Second,
		LivenessWindow: 6 * time.Second,
		FenceWait:      25 * time.Second,
	}
}

func testPlan(agents ...string) Plan {
	p := Plan{ID: attempt1}
	for _, a := range agents {
		p.Members = append(p.Members, PlannedMember{Agent: a, Incarnation: 1, Accelerators: []int{0}})
	}
	return p
}

func testMember(incarnation uint64, tasks ...Task) *Member {
	m := NewMember(MemberConfig{
		Accelerators:     2,
		Incarnation:      incarnation,
		IsolationTimeout: 15 * time.Second,
		MaxTombstones:    4,
	})
	m.Step(t0, TasksRecovered{Tasks: tasks})
	return m
}

// cluster connects a coordinator and its members by a network without faults.
// Disconnected agents neither receive nor send anything.
type cluster struct {
	members      map[string]*Member
	disconnected map[string]bool
}

func newCluster(agents ...string) *cluster {
	cl := &cluster{members: map[string]*Member{}, disconnected: map[string]bool{}}
	for _, a := range agents {
		cl.members[a] = testMember(1)
	}
	return cl
}

// step passes an event to the coordinator and delivers messages until there
// are no more. It returns the actions that are not messages.
func (cl *cluster) step(co *Coordinator, now time.Time, ev Event) []Action {
	var others []Action
	for _, act := range co.Step(now, ev) {
		switch act := act.(type) {
		case Send:
			if cl.disconnected[act.To] {
				continue
			}
			for _, r := range replies(cl.members[act.To].Step(now, Received{"p", act.Message})) {
				others = append(others, cl.step(co, now, ReplyReceived{act.To, r, now})...)
			}
		case WakeAt:
		default:
			others = append(others, act)
		}
	}
	return others
}

func replies(actions []MemberAction) []Reply {
	var rs []Reply
	for _, a := range actions {
		if s, ok := a.(SendReply); ok {
			rs = append(rs, s.Reply)
		}
	}
	return rs
}

func lastEnded(c *qt.C, actions []Action) Ended {
	c.Helper()
	c.Assert(actions, qt.Not(qt.HasLen), 0)
	e, ok := actions[len(actions)-1].(Ended)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%v", actions))
	return e
}

func testHeader(sender, incarnation uint64) Header { return Header{attempt1, sender, incarnation} }

func testReserve(h Header) Reserve {
	return Reserve{Header: h, Accelerators: []int{0}, Members: 2, Hold: 20 * time.Second}
}

// exchange sends one message to a member and returns the reply.
func exchange(m *Member, now time.Time, msg Message) Reply {
	return replies(m.Step(now, Received{"p", msg}))[0]
}

// No member may run before all have committed and the start is recorded.
func TestAllMembersStart(t *testing.T) {
	c := qt.New(t)
	cl := newCluster("a", "b")
	co := NewCoordinator(testConfig(1), testPlan("a", "b"))
	c.Assert(cl.step(co, t0, Begin{}), qt.DeepEquals, []Action{Record{co.Plan()}})
	c.Assert(cl.members["a"].Tasks()[0].State, qt.Equals, StateReserved)
	c.Assert(cl.step(co, t0, Recorded{RecordWritten}), qt.DeepEquals, []Action{Started{}})
	c.Assert(cl.members["b"].Tasks()[0].State, qt.Equals, StateRunning)
	c.Assert(co.AllMembersAlive(t0), qt.IsTrue)
	c.Assert(co.AllMembersAlive(t0.Add(7*time.Second)), qt.IsFalse)
}

// If one member refuses, the other members must release their reservations at
// once.
func TestRefusalReleasesReservations(t *testing.T) {
	c := qt.New(t)
	cl := newCluster("a", "b")
	other := testReserve(Header{ID{"other", 1, 0}, 1, 1})
	exchange(cl.members["b"], t0, other)
	e := lastEnded(c, cl.step(NewCoordinator(testConfig(1), testPlan("a", "b")), t0, Begin{}))
	c.Assert(e.Outcome, qt.Equals, NotStarted)
	c.Assert(e.Cause, qt.Equals, CauseRefused)
	c.Assert(e.CauseAgent, qt.Equals, "b")
	c.Assert(cl.members["a"].FreeAccelerators(), qt.HasLen, 2)
}

// Members must refuse the commits of a planner that was paused while a
// successor resolved its attempt as not started.
func TestPausedPlannerIsFenced(t *testing.T) {
	c := qt.New(t)
	cl := newCluster("a", "b")
	old := NewCoordinator(testConfig(1), testPlan("a", "b"))
	cl.step(old, t0, Begin{})
	e := lastEnded(c, cl.step(ResumeCoordinator(testConfig(2), old.Plan()), t0, Begin{}))
	c.Assert(e.Outcome, qt.Equals, NotStarted)
	e = lastEnded(c, cl.step(old, t0, Recorded{RecordWritten}))
	c.Assert(e.Outcome, qt.Equals, Superseded)
	c.Assert(cl.members["a"].Tasks(), qt.HasLen, 0)
}

// A successor can't know whether a committed attempt was started, so it must
// complete the attempt without starting it twice.
func TestSuccessorResumesCommittedAttempt(t *testing.T) {
	c := qt.New(t)
	cl := newCluster("a", "b")
	old := NewCoordinator(testConfig(1), testPlan("a", "b"))
	cl.step(old, t0, Begin{})
	for _, m := range cl.members {
		exchange(m, t0, Commit{testHeader(1, 1)})
	}
	exchange(cl.members["a"], t0, Start{testHeader(1, 1)})
	next := ResumeCoordinator(testConfig(2), old.Plan())
	c.Assert(cl.step(next, t0, Begin{}), qt.DeepEquals, []Action{Started{}})
	c.Assert(next.AllMembersAlive(t0), qt.IsTrue)
}

// If only one member was started and has succeeded, starting the other would
// report a gang as done that never ran together.
func TestSuccessorDoesNotCompletePartialRun(t *testing.T) {
	c := qt.New(t)
	cl := newCluster("a", "b")
	old := NewCoordinator(testConfig(1), testPlan("a", "b"))
	cl.step(old, t0, Begin{})
	for _, m := range cl.members {
		exchange(m, t0, Commit{testHeader(1, 1)})
	}
	exchange(cl.members["a"], t0, Start{testHeader(1, 1)})
	cl.members["a"].Step(t0, TaskEnded{ID: attempt1, Result: Succeeded})
	e := lastEnded(c, cl.step(ResumeCoordinator(testConfig(2), old.Plan()), t0.Add(time.Minute), Begin{}))
	c.Assert(e.Outcome, qt.Equals, Stopped)
	c.Assert(cl.members["b"].FreeAccelerators(), qt.HasLen, 2)
	c.Assert(e.Members[1].Started, qt.IsFalse)
}

// An attempt whose member restarted after its commit may have run and must not
// be reported as not started.
func TestRestartedMemberDoesNotProveNotStarted(t *testing.T) {
	c := qt.New(t)
	cl := newCluster("a", "b")
	old := NewCoordinator(testConfig(1), testPlan("a", "b"))
	cl.step(old, t0, Begin{})
	for _, m := range cl.members {
		exchange(m, t0, Commit{testHeader(1, 1)})
	}
	cl.members["b"] = testMember(2)
	e := lastEnded(c, cl.step(ResumeCoordinator(testConfig(2), old.Plan()), t0, Begin{}))
	c.Assert(e.Outcome, qt.Equals, Lost)
	c.Assert(cl.members["a"].FreeAccelerators(), qt.HasLen, 2)
}

// A successor must not end an attempt while a lost member that the predecessor
// renews may still run alone.
func TestSuccessorWaitsForIsolation(t *testing.T) {
	c := qt.New(t)
	cl := newCluster("a", "b")
	old := NewCoordinator(testConfig(1), testPlan("a", "b"))
	cl.step(old, t0, Begin{})
	cl.step(old, t0, Recorded{RecordWritten})
	next := ResumeCoordinator(testConfig(2), old.Plan())
	cl.disconnected["a"], cl.disconnected["b"] = true, true
	cl.step(next, t0, Begin{})
	cl.disconnected["b"] = false
	late := t0.Add(60 * time.Second)
	cl.step(next, late, MemberLost{"a"})
	cl.members["b"].Step(late, TaskEnded{ID: attempt1, Result: TaskStopped})
	cl.step(next, late.Add(2*time.Second), Wake{})
	c.Assert(next.HasEnded(), qt.IsFalse)
	e := lastEnded(c, cl.step(next, late.Add(25*time.Second), Wake{}))
	c.Assert(e.Outcome, qt.Equals, Lost)
	c.Assert(e.CauseAgent, qt.Equals, "a")
}

// A predecessor must not conclude from a report with a higher fence that an
// attempt was not started: its successor may have started it.
func TestReportWithHigherFenceSupersedes(t *testing.T) {
	c := qt.New(t)
	cl := newCluster("a", "b")
	old := NewCoordinator(testConfig(1), testPlan("a", "b"))
	cl.step(old, t0, Begin{})
	cl.disconnected["b"] = true
	cl.step(old, t0, Recorded{RecordWritten})
	b := cl.members["b"]
	exchange(b, t0, Commit{testHeader(1, 1)})
	exchange(b, t0, Stop{Header: testHeader(2, 1)})
	r := Reported{From: "b", Incarnation: 1, Fence: b.Fence(), Tasks: []Task{
		{ID: attempt1, State: StateEnded, Committed: true},
	}}
	c.Assert(lastEnded(c, cl.step(old, t0, r)).Outcome, qt.Equals, Superseded)
}

// Accelerators must not be assigned before a restarted agent knows which tasks
// its target still runs.
func TestReservationsRefusedBeforeRecovery(t *testing.T) {
	c := qt.New(t)
	m := NewMember(MemberConfig{Accelerators: 2, Incarnation: 2, IsolationTimeout: time.Minute})
	c.Assert(exchange(m, t0, testReserve(Header{ID{"x", 3, 1}, 3, 2})).Refusal, qt.Equals, NotReady)
	m.Step(t0, TasksRecovered{Tasks: []Task{{ID: attempt1, Accelerators: []int{0}, Members: 1}}})
	c.Assert(exchange(m, t0, testReserve(Header{ID{"x", 3, 1}, 3, 2})).Refusal, qt.Equals, Busy)
	c.Assert(m.FreeAccelerators(), qt.DeepEquals, []int{1})
}

// A task that succeeds while its agent restarts must be reported as done, or
// the job would run again.
func TestEndDuringRestartIsReported(t *testing.T) {
	c := qt.New(t)
	m := testMember(2, Task{ID: attempt1, State: StateEnded, Accelerators: []int{0}, Members: 1, Result: Succeeded})
	c.Assert(m.FreeAccelerators(), qt.HasLen, 2)
	co := ResumeCoordinator(testConfig(2), testPlan("a"))
	co.Step(t0, Begin{})
	co.Step(t0, Reported{From: "a", Incarnation: 2, Tasks: m.Tasks()})
	e := lastEnded(c, co.Step(t0, ReplyReceived{"a", exchange(m, t0, Seal{testHeader(2, 1)}), t0}))
	c.Assert(e.Outcome, qt.Equals, Done)
	exchange(m, t0, Stop{Header: testHeader(2, 1)})
	c.Assert(m.Tasks(), qt.HasLen, 0)
}

// Delayed messages for an attempt that the member has forgotten must neither
// run it a second time nor let a successor conclude that it never committed.
func TestForgottenAttemptIsNotRestarted(t *testing.T) {
	c := qt.New(t)
	m := testMember(1)
	for n := uint64(1); n <= 6; n++ {
		exchange(m, t0, Seal{Header{ID{"score", 1, n}, 1, 1}})
	}
	c.Assert(exchange(m, t0, testReserve(testHeader(1, 1))).Refusal, qt.Equals, Forgotten)
	r := exchange(m, t0, Seal{testHeader(1, 1)})
	c.Assert(r.Refusal, qt.Equals, Forgotten)
	c.Assert(r.Task.State, qt.Equals, StateUnknown)
	c.Assert(len(m.attempts) <= 4, qt.IsTrue)
}

// A disconnected member of a gang must stop by itself, even if its agent
// restarts meanwhile. A job with one member must run on.
func TestIsolatedMemberStops(t *testing.T) {
	for _, test := range []struct {
		name     string
		members  int
		runUntil time.Duration
		stops    bool
	}{
		{"member of a gang", 2, 0, true},
		{"job with one member", 1, 0, false},
		{"agent restart just before the deadline", 2, time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			task := Task{ID: attempt1, Accelerators: []int{0}, Members: test.members}
			timeout := 15 * time.Second
			if test.runUntil > 0 {
				task.RunUntil = t0.Add(test.runUntil).UnixNano()
				timeout = test.runUntil
			}
			m := testMember(2, task)
			c.Assert(hasStopTask(m.Step(t0.Add(timeout-1), Tick{})), qt.IsFalse)
			c.Assert(hasStopTask(m.Step(t0.Add(timeout), Tick{})), qt.Equals, test.stops)
		})
	}
}

func hasStopTask(actions []MemberAction) bool {
	for _, a := range actions {
		if _, ok := a.(StopTask); ok {
			return true
		}
	}
	return false
}

// An attempt must be aborted before a delayed start could let one member run
// after another has stopped by isolation.
func TestStartTimeoutAborts(t *testing.T) {
	c := qt.New(t)
	cl := newCluster("a", "b")
	co := NewCoordinator(testConfig(1), testPlan("a", "b"))
	cl.step(co, t0, Begin{})
	cl.members["b"].Step(t0, Received{"p", Commit{testHeader(1, 1)}})
	co.Step(t0, Recorded{RecordWritten})
	for _, a := range []string{"a", "b"} {
		co.Step(t0, ReplyReceived{a, exchange(cl.members[a], t0, Commit{testHeader(1, 1)}), t0})
	}
	exchange(cl.members["a"], t0, Start{testHeader(1, 1)})
	cl.step(co, t0.Add(6*time.Second), Wake{})
	c.Assert(cl.members["b"].FreeAccelerators(), qt.HasLen, 2)
	c.Assert(cl.members["a"].Tasks()[0].State, qt.Equals, StateStopping)
}

// A planner that resumes after a pause must not take queued reports as current,
// or it would renew a member whose gang has ended.
func TestQueuedReportDoesNotProveAlive(t *testing.T) {
	c := qt.New(t)
	cl := newCluster("a")
	co := NewCoordinator(testConfig(1), testPlan("a"))
	cl.step(co, t0, Begin{})
	cl.step(co, t0, Recorded{RecordWritten})
	resumedAt := t0.Add(time.Minute)
	for sent, alive := range map[time.Time]bool{t0: false, resumedAt: true} {
		r := Reported{From: "a", Incarnation: 1, Fence: 1, Tasks: cl.members["a"].Tasks()}
		r.Timestamp = NewPlannerTimestamp(1, sent)
		copied := *co
		copied.members = []*memberStatus{{}}
		*copied.members[0] = *co.members[0]
		copied.Step(resumedAt, r)
		c.Assert(copied.AllMembersAlive(resumedAt), qt.Equals, alive)
	}
}

// A successor must not start members known only from reports: the predecessor
// could still end the attempt on one of them.
func TestReportsDoNotReplaceSealReplies(t *testing.T) {
	c := qt.New(t)
	co := ResumeCoordinator(testConfig(2), testPlan("a", "b"))
	co.Step(t0, Begin{})
	for _, a := range []string{"a", "b"} {
		task := Task{ID: attempt1, State: StateCommitted, Committed: true, Members: 2}
		for _, act := range co.Step(t0, Reported{From: a, Incarnation: 1, Fence: 1, Tasks: []Task{task}}) {
			send, ok := act.(Send)
			c.Assert(ok && send.Message == Message(Start{co.header(co.member(send.To))}), qt.IsFalse)
		}
	}
}

// A target that does not answer a start must not make its job count as failed.
func TestUnansweredStartIsNoTaskFailure(t *testing.T) {
	c := qt.New(t)
	cl := newCluster("a", "b")
	co := NewCoordinator(testConfig(1), testPlan("a", "b"))
	cl.step(co, t0, Begin{})
	cl.step(co, t0, Recorded{RecordWritten})
	end := func(agent string, r Result) []Action {
		reply := replies(cl.members[agent].Step(t0, TaskEnded{ID: attempt1, Result: r}))[0]
		return cl.step(co, t0, ReplyReceived{From: agent, Reply: reply})
	}
	end("a", StartUnanswered)
	e := lastEnded(c, end("b", TaskStopped))
	c.Check(e.Outcome, qt.Equals, StartFailed)
	c.Check(e.Cause, qt.Equals, CauseMemberFailed)
	c.Check(e.CauseAgent, qt.Equals, "a")
}
