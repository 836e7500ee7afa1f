package engine

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a delayed call to an incarnation that is over, which starts a run on the next one: a
// restarted agent fences it with the planner's first answer, which must exceed the fence of every order.
func TestFirstAnswerToRestartedAgentFencesNextIncarnation(t *testing.T) {
	for _, keepsName := range []bool{true, false} {
		c := qt.New(t)
		d := newDriver(t, 2)
		info := d.e.workers["w0"].info
		if keepsName {
			info.Name = "name"
			d.e.workers["w0"].info.Name = info.Name
		}
		ordered := d.e.workers["w0"].generation
		d.restartAgent(info.Agent)
		info.ID += "-next"
		first := d.number(Report{Worker: info})
		first.Origin.Epoch = 0 // the process has had no answer
		answer := d.report(first)
		c.Check(answer.Standing, qt.Equals, ReportUnconfirmed)
		c.Check(answer.Attached, qt.IsFalse)
		c.Check(answer.Generation > ordered, qt.Equals, keepsName)
		c.Check(d.e.workers["w0"], qt.IsNotNil, qt.Commentf("the report may be of a process that is over"))
		if keepsName {
			second := d.number(Report{Worker: info, Epoch: 1, Generation: answer.Generation, Polled: true})
			c.Check(d.report(second).Attached, qt.IsTrue, qt.Commentf("the poll under the first fence counts"))
			c.Check(d.e.workers["w0"], qt.IsNil)
		}
	}
}
