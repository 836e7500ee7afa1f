package api

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against reasons or headers that are missing from the interface page, or listed
// with another status or outcome.
func TestInterfacePageListsReasonsAndHeaders(t *testing.T) {
	page, err := os.ReadFile("../docs/INTERFACE.md")
	qt.Assert(t, err, qt.IsNil)
	for r, info := range reasons {
		row := fmt.Sprintf("\n| `%s` | %d | %s | ", r, info.status, info.outcome)
		qt.Check(t, strings.Contains(string(page), row), qt.IsTrue, qt.Commentf("no row %q", row))
	}
	for _, h := range []string{
		HeaderAccount, HeaderClass, HeaderDeadline, HeaderRepeatable, HeaderIdempotencyKey, HeaderFirstDelivery,
		HeaderOutcome, HeaderRequestID, HeaderRetryAfter,
	} {
		qt.Check(t, strings.Contains(string(page), "\n| `"+h+"` | "), qt.IsTrue, qt.Commentf("no row for %s", h))
	}
}
