package nodeagent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// While there is no planner, every agent of the fleet searches for it. The first retries are fast,
// since a takeover takes less than a second, but they must not flood the gateways in a long outage.
func TestFailedReportsBackOff(t *testing.T) {
	c := qt.New(t)
	retry := newReportBackoff()
	attempts, inFirstSecond := 0, 0
	for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += retry.NextBackOff() {
		attempts++
		if elapsed < time.Second {
			inFirstSecond++
		}
	}
	c.Check(inFirstSecond >= 3, qt.IsTrue, qt.Commentf("%d attempts in the first second", inFirstSecond))
	c.Check(attempts <= 50, qt.IsTrue, qt.Commentf("%d attempts in ten seconds", attempts))
}
