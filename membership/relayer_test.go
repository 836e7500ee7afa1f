package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// A member that has not reported to its relay for a while reports directly, or is dead. What the relay
// knows may be older than what it has said elsewhere: an entry that has just started must not learn from
// it that a draining agent is schedulable.
func TestRelayDoesNotIntroduceSilentMember(t *testing.T) {
	for _, test := range []struct {
		silence    time.Duration
		introduced bool
	}{{RelayHeartbeat, true}, {relayAckValidity, true}, {relayAckValidity + time.Second, false}} {
		c := qt.New(t)
		r := NewRelayer()
		r.HandleReport(startTime, fullReport("a", 1, 1))
		now := startTime.Add(test.silence)
		batch, cursor := r.Batch(now, "entry")
		r.HandleAck(now, "entry", batch, cursor, &wire.ReportAck{NeedFull: []string{"a"}})
		batch, _ = r.Batch(now, "entry")
		introduced := len(batch) == 1 && batch[0].Full
		c.Check(introduced, qt.Equals, test.introduced, qt.Commentf("silent for %v", test.silence))
		if !test.introduced {
			_, due := r.FullReportDue("entry")
			c.Check(due, qt.IsFalse)
		}
	}
}
