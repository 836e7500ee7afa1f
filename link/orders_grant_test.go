package link_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
)

// Guards against orders that don't say by which lease they were decided: an agent would carry them out
// under any later one.
func TestOrdersCarryTheirGrant(t *testing.T) {
	m := link.NewOrders(3, engine.Orders{Worker: "w", Grant: engine.ReportOrigin{Process: 7, Sequence: 2, BuiltAt: 5 * time.Second}, DecidedAfter: time.Second})
	qt.Check(t, m.AgentProcess, qt.Equals, uint64(7))
	qt.Check(t, m.GrantedAt, qt.Equals, 5*time.Second)
	qt.Check(t, m.DecidedAfter, qt.Equals, time.Second)
}
