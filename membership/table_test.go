package membership

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func full(id string, incarnation, sequence uint64) wire.AgentReport {
	return wire.AgentReport{ID: id, Incarnation: incarnation, Sequence: sequence, Full: true, Service: "dispatch", Zone: "wharf", Slots: 8}
}

func direct(batch ...wire.AgentReport) Reports { return Reports{Batch: batch} }

func offeredIDs(t *Table) []string {
	ids := []string{}
	for _, m := range t.Snapshot().Service("dispatch").Schedulable {
		ids = append(ids, m.Report.ID)
	}
	return ids
}

// names lists the types of actions, but for Next.
func names(actions []Action) []string {
	out := []string{}
	for _, a := range actions {
		if _, ok := a.(NextReport); !ok {
			out = append(out, fmt.Sprintf("%T", a)[len("membership."):])
		}
	}
	return out
}

func TestStates(t *testing.T) {
	delta := func(sequence, base uint64, groups wire.FieldGroups) wire.AgentReport {
		return wire.AgentReport{ID: "a", Incarnation: 2, Sequence: sequence, BaseSequence: base, Changed: groups, Load: wire.Load{Queued: 3}}
	}
	late := full("a", 2, 3)
	late.Age = 61 * time.Second
	for _, test := range []struct {
		story string
		after time.Duration
		ev    Event
		want  []string
	}{
		{"a delta of an agent that is not known", 0, direct(wire.AgentReport{ID: "b", Incarnation: 1, Sequence: 4, BaseSequence: 3}), []string{"NeedFull"}},
		{"a delta that continues what is known", 0, direct(delta(3, 2, wire.ChangedLoad)), []string{"Changed"}},
		{"a delta with a gap before it", 0, direct(delta(5, 4, wire.ChangedLoad)), []string{"NeedFull"}},
		{"a report of an older incarnation", 0, direct(full("a", 1, 9)), []string{"Newer"}},
		{"a report of an older sequence", 0, direct(full("a", 2, 1)), []string{}},
		{"a restart", 0, direct(full("a", 3, 1)), []string{"Lost", "Joined"}},
		{"the delta of a restarted agent", 0, direct(wire.AgentReport{ID: "a", Incarnation: 3, Sequence: 2, BaseSequence: 1}), []string{"Lost", "NeedFull"}},
		{"a goodbye", 0, direct(wire.AgentReport{ID: "a", Incarnation: 2, Departed: true}), []string{"Left"}},
		{"draining learned from an answer", 0, Draining{ID: "a", Incarnation: 2}, []string{"Changed"}},
		{"draining of an incarnation that is gone", 0, Draining{ID: "a", Incarnation: 1}, []string{}},
		{"silence for a while", 26 * time.Second, Tick{}, []string{"Suspected"}},
		{"silence for long", 61 * time.Second, Tick{}, []string{"Lost"}},
		{"a relay that was under way for too long", 0, Reports{Batch: []wire.AgentReport{late}, Relayed: true}, []string{}},
	} {
		t.Run(test.story, func(t *testing.T) {
			c := qt.New(t)
			table := NewTable(Config{})
			c.Assert(names(table.Step(start, direct(full("a", 2, 2)))), qt.DeepEquals, []string{"Joined"})
			c.Assert(names(table.Step(start.Add(test.after), test.ev)), qt.DeepEquals, test.want)
		})
	}
}

// Story: an agent drains and its news reaches the entry by an answer before
// its first report, which was made earlier and is relayed late. The report must
// not make the entry offer the agent. Only its next incarnation is offered.
func TestDrainingOvertakesTheFirstReport(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Config{})
	table.Step(start, Draining{ID: "a", Incarnation: 2})
	table.Step(start, Reports{Batch: []wire.AgentReport{full("a", 2, 1)}, Relayed: true})
	c.Assert(offeredIDs(table), qt.DeepEquals, []string{})
	c.Assert(table.Snapshot().Service("dispatch").Find("a"), qt.IsNotNil)
	table.Step(start, direct(full("a", 3, 1)))
	c.Assert(offeredIDs(table), qt.DeepEquals, []string{"a"})
}

// Story: more agents show up than memory was planned for. Records of agents
// that are gone make room, longest gone first; then newcomers are refused, and
// those that are known stay.
func TestMembersAreBounded(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Config{MaxMembers: 2})
	table.Step(start, direct(full("a", 1, 1), full("b", 1, 1)))
	c.Assert(names(table.Step(start, direct(full("c", 1, 1)))), qt.DeepEquals, []string{"Refused"})
	table.Step(start, direct(wire.AgentReport{ID: "a", Incarnation: 1, Departed: true}))
	c.Assert(names(table.Step(start, direct(full("c", 1, 1)))), qt.DeepEquals, []string{"Joined"})
	c.Assert(offeredIDs(table), qt.DeepEquals, []string{"b", "c"})
	c.Assert(table.Len(), qt.Equals, 2)
	table.Step(start.Add(time.Hour), Tick{})
	table.Step(start.Add(2*time.Hour), Tick{})
	c.Assert(table.Len(), qt.Equals, 0)
}

// Story: an availability zone's 900 agents return in one moment. Admission
// must stay within its pace, each agent must get in without asking often, and
// all must be in soon after the pace allows.
func TestZoneReturnsAtOnce(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Config{JoinsPerSecond: 200, JoinBurst: 50})
	due := map[string]time.Duration{}
	tries := 0
	for i := range 900 {
		due[fmt.Sprintf("agent-%03d", i)] = 0
	}
	for ms := time.Duration(0); len(due) > 0; ms += time.Millisecond {
		c.Assert(ms < 10*time.Second, qt.IsTrue, qt.Commentf("%d agents still outside", len(due)))
		for i := range 900 {
			id := fmt.Sprintf("agent-%03d", i)
			if at, ok := due[id]; !ok || at > ms {
				continue
			}
			tries++
			var ack wire.ReportAck
			FillAck(&ack, table.Step(start.Add(ms), direct(full(id, 1, 1))))
			if len(ack.Refused) == 0 {
				delete(due, id)
				continue
			}
			due[id] = ms + ack.NextReportIn
		}
		in := float64(len(table.Snapshot().Service("dispatch").Members))
		c.Assert(in <= 50+200*ms.Seconds()+1, qt.IsTrue, qt.Commentf("%v in after %v", in, ms))
	}
	c.Assert(tries <= 2*900, qt.IsTrue, qt.Commentf("%d tries", tries))
}

// Story: two entries tell each other what they heard. What one learned by
// relay must not be sent back, and what is quiet costs entries without content.
func TestRelaySendsWhatIsNews(t *testing.T) {
	c := qt.New(t)
	a, b := NewTable(Config{}), NewTable(Config{})
	a.Step(start, direct(full("x", 1, 1)))
	batch, cursor := a.Relay(start, 0)
	b.Step(start, Reports{Batch: batch, Relayed: true})
	c.Assert(offeredIDs(b), qt.DeepEquals, []string{"x"})
	back, _ := b.Relay(start, 0)
	c.Assert(back, qt.HasLen, 0)

	now := start.Add(20 * time.Second)
	a.Step(now, direct(wire.AgentReport{ID: "x", Incarnation: 1, Sequence: 1, BaseSequence: 1}))
	batch, cursor = a.Relay(now.Add(time.Second), cursor)
	c.Assert(batch, qt.DeepEquals, []wire.AgentReport{{ID: "x", Incarnation: 1, Sequence: 1, BaseSequence: 1, Age: time.Second}})
	b.Step(now.Add(time.Second), Reports{Batch: batch, Relayed: true})
	c.Assert(names(b.Step(start.Add(44*time.Second), Tick{})), qt.HasLen, 0)

	a.Step(now, direct(wire.AgentReport{ID: "x", Incarnation: 1, Departed: true}))
	batch, _ = a.Relay(now, cursor)
	c.Assert(names(b.Step(start.Add(45*time.Second), Reports{Batch: batch, Relayed: true})), qt.DeepEquals, []string{"Left"})
}
