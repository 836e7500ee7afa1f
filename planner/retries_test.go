package planner

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
)

// Guards against jobs that fail and are started again without end, because each of several planners in
// a row counts the failures anew.
func TestRetriesCountAcrossTerms(t *testing.T) {
	b := newBench(t)
	class, ok := b.document.Document.Class("risk-scoring")
	b.c.Assert(ok, qt.IsTrue)
	class.Retries = 2
	agents := newFakeAgents(allWorkers...)
	b.accept("j", 16, true)
	for epoch := uint64(1); epoch <= 4 && !b.state("j").Ended(); epoch++ {
		p := b.planner(epoch, agents)
		report := func() { agents.report(p) }
		started := 2 * int(epoch)
		b.eventually("the gang runs", report, func() bool { return agents.startsOf("j") == started && agents.runningMembers("j") == 2 })
		agents.endAll(gang.TaskFailed)
		b.eventually("the gang runs again or has ended", report, func() bool {
			return agents.startsOf("j") == started+2 && agents.runningMembers("j") == 2 || b.state("j").Ended()
		})
		p.Stop()
	}
	b.c.Check(b.state("j"), qt.Equals, jobs.Failed)
	b.c.Check(agents.startsOf("j"), qt.Equals, 2*(1+class.Retries))
}
