package membership

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fullReport(id string, incarnation, sequence uint64) wire.AgentReport {
	return wire.AgentReport{ID: id, Incarnation: incarnation, Sequence: sequence, Full: true, Service: "dispatch", Zone: "wharf", Slots: 8}
}

func directReports(batch ...wire.AgentReport) Reports { return Reports{Batch: batch} }

func schedulableIDs(t *Table) []string {
	ids := []string{}
	for _, m := range t.Snapshot().Service("dispatch").Schedulable {
		ids = append(ids, m.Report.ID)
	}
	return ids
}

// actionNames lists the types of the actions except NextReport.
func actionNames(actions []Action) []string {
	out := []string{}
	for _, a := range actions {
		if _, ok := a.(NextReport); !ok {
			out = append(out, fmt.Sprintf("%T", a)[len("membership."):])
		}
	}
	return out
}

func TestTableActions(t *testing.T) {
	delta := func(sequence, base uint64, groups wire.FieldGroups) wire.AgentReport {
		return wire.AgentReport{ID: "a", Incarnation: 2, Sequence: sequence, BaseSequence: base, Changed: groups, Load: wire.Load{Queued: 3}}
	}
	late := fullReport("a", 2, 3)
	late.Age = 61 * time.Second
	for _, test := range []struct {
		name    string
		elapsed time.Duration
		ev      Event
		want    []string
	}{
		{"a delta of an unknown agent", 0, directReports(wire.AgentReport{ID: "b", Incarnation: 1, Sequence: 4, BaseSequence: 3}), []string{"NeedFull"}},
		{"a delta on the known sequence", 0, directReports(delta(3, 2, wire.ChangedLoad)), []string{"Changed"}},
		{"a delta after a gap", 0, directReports(delta(5, 4, wire.ChangedLoad)), []string{"NeedFull"}},
		{"a report of an older incarnation", 0, directReports(fullReport("a", 1, 9)), []string{"Newer"}},
		{"a report of an older sequence", 0, directReports(fullReport("a", 2, 1)), []string{}},
		{"a restart", 0, directReports(fullReport("a", 3, 1)), []string{"Lost", "Joined"}},
		{"the delta of a restarted agent", 0, directReports(wire.AgentReport{ID: "a", Incarnation: 3, Sequence: 2, BaseSequence: 1}), []string{"Lost", "NeedFull"}},
		{"a departure notice", 0, directReports(wire.AgentReport{ID: "a", Incarnation: 2, Departed: true}), []string{"Left"}},
		{"draining learned from an answer", 0, Draining{ID: "a", Incarnation: 2}, []string{"Changed"}},
		{"draining of an older incarnation", 0, Draining{ID: "a", Incarnation: 1}, []string{}},
		{"no contact for SuspectAfter", 26 * time.Second, Tick{}, []string{"Suspected"}},
		{"no contact for LostAfter", 61 * time.Second, Tick{}, []string{"Lost"}},
		{"a relayed report that is too old", 0, Reports{Batch: []wire.AgentReport{late}, Relayed: true}, []string{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			table := NewTable(Config{})
			c.Assert(actionNames(table.Step(startTime, directReports(fullReport("a", 2, 2)))), qt.DeepEquals, []string{"Joined"})
			c.Assert(actionNames(table.Step(startTime.Add(test.elapsed), test.ev)), qt.DeepEquals, test.want)
		})
	}
}

// Draining reaches the entry before the agent's first report, which was made earlier.
// The report must not make the agent schedulable; only its next incarnation is.
func TestDrainingBeforeFirstReport(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Config{})
	table.Step(startTime, Draining{ID: "a", Incarnation: 2})
	table.Step(startTime, Reports{Batch: []wire.AgentReport{fullReport("a", 2, 1)}, Relayed: true})
	c.Assert(schedulableIDs(table), qt.DeepEquals, []string{})
	c.Assert(table.Snapshot().Service("dispatch").Find("a"), qt.IsNotNil)
	table.Step(startTime, directReports(fullReport("a", 3, 1)))
	c.Assert(schedulableIDs(table), qt.DeepEquals, []string{"a"})
}

// At MaxMembers, records of agents that are gone are dropped first, longest gone first;
// then new agents are refused, and known ones stay.
func TestMembersAreBounded(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Config{MaxMembers: 2})
	table.Step(startTime, directReports(fullReport("a", 1, 1), fullReport("b", 1, 1)))
	c.Assert(actionNames(table.Step(startTime, directReports(fullReport("c", 1, 1)))), qt.DeepEquals, []string{"Refused"})
	table.Step(startTime, directReports(wire.AgentReport{ID: "a", Incarnation: 1, Departed: true}))
	c.Assert(actionNames(table.Step(startTime, directReports(fullReport("c", 1, 1)))), qt.DeepEquals, []string{"Joined"})
	c.Assert(schedulableIDs(table), qt.DeepEquals, []string{"b", "c"})
	c.Assert(table.Len(), qt.Equals, 2)
	table.Step(startTime.Add(time.Hour), Tick{})
	table.Step(startTime.Add(2*time.Hour), Tick{})
	c.Assert(table.Len(), qt.Equals, 0)
}

// 900 agents of an availability zone return at once. Admission must stay within its
// rate, each agent must get in with few attempts, and all must be in soon.
func TestZoneReconnectIsRateLimited(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Config{JoinsPerSecond: 200, JoinBurst: 50})
	due := map[string]time.Duration{}
	tries := 0
	for i := range 900 {
		due[fmt.Sprintf("agent-%03d", i)] = 0
	}
	for ms := time.Duration(0); len(due) > 0; ms += time.Millisecond {
		c.Assert(ms < 10*time.Second, qt.IsTrue, qt.Commentf("%d agents not admitted", len(due)))
		for i := range 900 {
			id := fmt.Sprintf("agent-%03d", i)
			if at, ok := due[id]; !ok || at > ms {
				continue
			}
			tries++
			var ack wire.ReportAck
			FillAck(&ack, table.Step(startTime.Add(ms), directReports(fullReport(id, 1, 1))))
			if len(ack.Refused) == 0 {
				delete(due, id)
				continue
			}
			due[id] = ms + ack.NextReportIn
		}
		admitted := float64(len(table.Snapshot().Service("dispatch").Members))
		c.Assert(admitted <= 50+200*ms.Seconds()+1, qt.IsTrue, qt.Commentf("%v admitted after %v", admitted, ms))
	}
	c.Assert(tries <= 2*900, qt.IsTrue, qt.Commentf("%d tries", tries))
}

// Two entries relay to each other. What one learned by relay must not be sent back, and
// an unchanged agent must be sent without content.
func TestRelaySendsOnlyChanges(t *testing.T) {
	c := qt.New(t)
	a, b := NewTable(Config{}), NewTable(Config{})
	a.Step(startTime, directReports(fullReport("x", 1, 1)))
	batch, cursor := a.RelayBatch(startTime, 0)
	b.Step(startTime, Reports{Batch: batch, Relayed: true})
	c.Assert(schedulableIDs(b), qt.DeepEquals, []string{"x"})
	back, _ := b.RelayBatch(startTime, 0)
	c.Assert(back, qt.HasLen, 0)

	now := startTime.Add(20 * time.Second)
	a.Step(now, directReports(wire.AgentReport{ID: "x", Incarnation: 1, Sequence: 1, BaseSequence: 1}))
	batch, cursor = a.RelayBatch(now.Add(time.Second), cursor)
	c.Assert(batch, qt.DeepEquals, []wire.AgentReport{{ID: "x", Incarnation: 1, Sequence: 1, BaseSequence: 1, Age: time.Second}})
	b.Step(now.Add(time.Second), Reports{Batch: batch, Relayed: true})
	c.Assert(actionNames(b.Step(startTime.Add(44*time.Second), Tick{})), qt.HasLen, 0)

	a.Step(now, directReports(wire.AgentReport{ID: "x", Incarnation: 1, Departed: true}))
	batch, _ = a.RelayBatch(now, cursor)
	c.Assert(actionNames(b.Step(startTime.Add(45*time.Second), Reports{Batch: batch, Relayed: true})), qt.DeepEquals, []string{"Left"})
}

// A report of an earlier process just after a restart is left over; one that comes later is from a
// process that still runs under the same id. Neither may replace the later process.
func TestEarlierProcessIsToldFromRestart(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Config{})
	table.Step(startTime, directReports(fullReport("a", 1, 1)))
	restarted := startTime.Add(time.Minute / 2)
	table.Step(restarted, directReports(fullReport("a", 2, 1)))
	for i := range 20 {
		now := restarted.Add(time.Duration(i) * time.Second)
		actions := table.Step(now, directReports(fullReport("a", 1, uint64(i+2))))
		c.Assert(actionNames(actions), qt.DeepEquals, []string{"Newer"})
		c.Assert(actions[0].(Newer).KnownFor, qt.Equals, now.Sub(restarted))
		table.Step(now, directReports(fullReport("a", 2, uint64(i+2))))
		c.Assert(table.Snapshot().Service("dispatch").Find("a").Report.Incarnation, qt.Equals, uint64(2))
	}
}

// The planner takes a report as evidence of a member's tasks only at the member's sequence. A sequence
// that lags behind the last report would end the renewals of a live gang.
func TestMemberHasSequenceOfLastReport(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Config{})
	table.Step(startTime, directReports(fullReport("a", 1, 1)))
	table.Step(startTime, directReports(wire.AgentReport{ID: "a", Incarnation: 1, Sequence: 2, BaseSequence: 1}))
	c.Assert(table.Snapshot().Service("dispatch").Find("a").Report.Sequence, qt.Equals, uint64(2))
}
