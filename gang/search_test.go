package gang

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A successor must not end its search while an agent that is not fenced, or
// only just was, may still start or run part of a gang.
func TestSearch(t *testing.T) {
	const lossTimeout, fenceWait = 20 * time.Second, 15 * time.Second
	began := time.Unix(1000, 0)
	id := ID{Job: "j", Epoch: 1, Number: 7}
	running := Task{ID: id, State: StateRunning, Members: 2, Committed: true, Started: true}
	withState := func(s State, r Result) Task {
		task := running
		task.State, task.Result = s, r
		return task
	}
	fenced := func(name string, fenced time.Duration, tasks ...Task) AgentView {
		return AgentView{Agent: name, Incarnation: 1, FencedAt: began.Add(fenced), Tasks: tasks}
	}
	unfenced := func(name string, tasks ...Task) AgentView {
		return AgentView{Agent: name, Incarnation: 1, Tasks: tasks}
	}
	for name, row := range map[string]struct {
		elapsed time.Duration
		agents  []AgentView
		want    SearchResult
	}{
		"complete":                            {time.Second, []AgentView{fenced("a", 0, running), fenced("b", 0, running)}, Adoptable},
		"complete, one succeeded":             {time.Second, []AgentView{fenced("a", 0, withState(StateEnded, Succeeded)), fenced("b", 0, running)}, Adoptable},
		"complete, not started":               {time.Second, []AgentView{fenced("a", 0, withState(StateCommitted, NoResult)), fenced("b", 0, withState(StateCommitted, NoResult))}, Adoptable},
		"complete, one not fenced":            {time.Second, []AgentView{fenced("a", 0, running), unfenced("b", running)}, SearchPending},
		"partial, before the loss timeout":    {lossTimeout - 1, []AgentView{fenced("a", 0, running)}, SearchPending},
		"partial":                             {lossTimeout, []AgentView{fenced("a", 0, running)}, Incomplete},
		"one failed, before the loss timeout": {lossTimeout - 1, []AgentView{fenced("a", 0, running), fenced("b", 0, withState(StateEnded, TaskFailed))}, SearchPending},
		"one failed":                          {lossTimeout, []AgentView{fenced("a", 0, running), fenced("b", 0, withState(StateEnded, TaskFailed))}, Adoptable},
		"both isolated":                       {lossTimeout, []AgentView{fenced("a", 0, withState(StateEnded, Isolated)), fenced("b", 0, withState(StateEnded, Isolated))}, Adoptable},
		"one only reserved":                   {lossTimeout, []AgentView{fenced("a", 0, running), fenced("b", 0, withState(StateReserved, NoResult))}, Incomplete},
		"nothing, before the loss timeout":    {lossTimeout - 1, []AgentView{fenced("a", 0), fenced("b", 0)}, SearchPending},
		"nothing, one not fenced":             {time.Hour, []AgentView{fenced("a", 0), unfenced("b")}, SearchPending},
		"nothing, one can't be fenced":        {2 * lossTimeout, []AgentView{fenced("a", 0), {Agent: "b", FenceSentAt: began}}, NotFound},
		"nothing, one was just sent a fence":  {2 * lossTimeout, []AgentView{fenced("a", 0), {Agent: "b", FenceSentAt: began.Add(1)}}, SearchPending},
		"nothing, one just fenced":            {lossTimeout, []AgentView{fenced("a", 0), fenced("b", lossTimeout-fenceWait+1)}, SearchPending},
		"nothing":                             {lossTimeout, []AgentView{fenced("a", 0), fenced("b", lossTimeout-fenceWait)}, NotFound},
		"only reserved":                       {lossTimeout, []AgentView{fenced("a", 0, withState(StateReserved, NoResult))}, NotFound},
		"no agents":                           {lossTimeout, nil, NotFound},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := NewSearch(SearchConfig{LossTimeout: lossTimeout, FenceWait: fenceWait}, began.Add(row.elapsed), row.agents)
			result, plan := s.Resolve("j", 1, began)
			c.Check(result, qt.Equals, row.want)
			if result == Adoptable {
				c.Check(plan.ID, qt.Equals, id)
				c.Check(plan.Members, qt.HasLen, 2)
			}
			other, _ := s.Resolve("j", 2, began)
			c.Check(other == SearchPending || other == NotFound, qt.IsTrue)
		})
	}
}

// If agents hold two attempts made on one permit, the successor must resume the
// latest one.
func TestSearchAdoptsLatestAttempt(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	task := func(number uint64) Task {
		return Task{ID: ID{Job: "j", Epoch: 1, Number: number}, State: StateCommitted, Members: 1}
	}
	s := NewSearch(SearchConfig{}, now, []AgentView{
		{Agent: "a", Incarnation: 1, FencedAt: now, Tasks: []Task{task(9)}},
		{Agent: "b", Incarnation: 1, FencedAt: now, Tasks: []Task{task(8)}},
	})
	result, plan := s.Resolve("j", 1, now)
	c.Assert(result, qt.Equals, Adoptable)
	c.Assert(plan.ID.Number, qt.Equals, uint64(9))
}
