package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/eelgrasshub/eelgrasshub/membership"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Two processes under one id must be seen in the log, with both addresses, and not be confused with
// the last reports from before a restart, nor flood the log.
func TestDuplicateAgentIsLogged(t *testing.T) {
	c := qt.New(t)
	logger, hook := logtest.NewNullLogger()
	d := newDuplicates(logrus.NewEntry(logger))
	find := func(id string) *membership.Member {
		if id == "gone" {
			return nil
		}
		return &membership.Member{Report: wire.AgentReport{ID: id, Address: "10.0.0.2:7"}}
	}
	warn := func(newer membership.Newer) { d.warn("10.0.0.1:7", []membership.Action{newer}, find) }

	warn(membership.Newer{ID: "a", Incarnation: 2, KnownFor: membership.MaxReportDelay})
	c.Assert(hook.AllEntries(), qt.HasLen, 0)
	late := membership.MaxReportDelay + 1
	for range 3 {
		warn(membership.Newer{ID: "a", Incarnation: 2, KnownFor: late})
	}
	c.Assert(hook.AllEntries(), qt.HasLen, 1)
	c.Check(hook.LastEntry().Data, qt.DeepEquals, logrus.Fields{"agent": "a", "incarnation": uint64(2), "ignored_from": "10.0.0.1:7", "address": "10.0.0.2:7"})
	warn(membership.Newer{ID: "gone", Incarnation: 2, KnownFor: late})
	c.Assert(hook.AllEntries(), qt.HasLen, 2)
	c.Check(hook.LastEntry().Message, qt.Contains, "clock")
}
