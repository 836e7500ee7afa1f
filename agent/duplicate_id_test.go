package agent_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/eelgrasshub/eelgrasshub/agent"
	"github.com/eelgrasshub/eelgrasshub/entry"
)

// Two processes run under one agent id and report by turns, such as from a copied settings file. The
// entry must stay with the one started last and say so, and the other one must say that it is ignored.
func TestTwoProcessesUnderOneID(t *testing.T) {
	rack := newTestRack(qt.New(t), 0)
	log, entryHook := logtest.NewNullLogger()
	cfg := rack.entryConfig("entry-0")
	e, err := entry.Start(cfg, logrus.NewEntry(log))
	rack.Assert(err, qt.IsNil)
	rack.entries, rack.entryConfigs = append(rack.entries, e), append(rack.entryConfigs, cfg)

	log, firstHook := logtest.NewNullLogger()
	first, err := agent.Start(rack.agentConfig("worker"), logrus.NewEntry(log))
	rack.Assert(err, qt.IsNil)
	rack.Cleanup(first.Close)
	waitUntil(rack.C, "the first process is known", func() bool { return rack.agentsSeenBy(0)["worker"].State == "alive" })
	rack.startAgents("worker")

	waitUntil(rack.C, "the first process says that it is ignored", func() bool { return logged(firstHook, "a later process") != nil })
	waitUntil(rack.C, "the entry warns", func() bool { return logged(entryHook, "two processes") != nil })
	warning := logged(entryHook, "two processes")
	rack.Check(warning.Data["address"], qt.Equals, rack.agents["worker"].Addr())
	rack.Check(warning.Data["ignored_from"], qt.Matches, `127\.0\.0\.1:\d+`) // a port from which it dials
	rack.Check(warning.Data["ignored_from"], qt.Not(qt.Equals), rack.agents["worker"].Addr())
	rack.Check(rack.agentsSeenBy(0)["worker"].State, qt.Equals, "alive")
}

// logged returns the first entry of a log whose message contains the text, or nil.
func logged(hook *logtest.Hook, text string) *logrus.Entry {
	for _, e := range hook.AllEntries() {
		if strings.Contains(e.Message, text) {
			return e
		}
	}
	return nil
}
