package entry

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// Guards against a wait reason that the operations page does not explain.
func TestOperationsPageListsEveryWaitReason(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	qt.Assert(t, err, qt.IsNil)
	reasons := []string{
		string(api.WaitStarting), string(api.WaitStoreUnavailable), string(api.WaitRebuilding), string(api.WaitEnding), string(api.WaitPredecessorInDoubt),
	}
	for r := scheduler.WaitNone; r <= scheduler.WaitNoCores; r++ {
		reasons = append(reasons, r.String())
	}
	for _, r := range reasons {
		qt.Check(t, strings.Contains(string(page), "\n| `"+r+"` | "), qt.IsTrue, qt.Commentf("docs/OPERATIONS.md has no row for wait reason %s", r))
	}
	_, table, _ := strings.Cut(string(page), "### Why does a job wait")
	table, _, _ = strings.Cut(table, "\n## ")
	qt.Check(t, strings.Count(table, "\n| `"), qt.Equals, len(reasons))
}
