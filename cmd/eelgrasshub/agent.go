package main

import (
	"github.com/eelgrasshub/eelgrasshub/agent"
	"github.com/eelgrasshub/eelgrasshub/settings"
)

// agentCmd runs an agent.
type agentCmd struct {
	roleOptions
}

func agentCommand() command {
	return command{
		name:  "agent",
		short: "run an agent: the process beside each target",
		long:  "Stops gracefully on SIGTERM: it accepts no new work and waits up to stop_grace for running work. Gang tasks that still run then continue on the target under their leases.",
		data:  &agentCmd{},
	}
}

// Execute implements flags.Commander.
func (c *agentCmd) Execute([]string) error {
	cfg, err := settings.Load[settings.Agent](c.Settings)
	if err != nil {
		return err
	}
	log, err := newLog(c.LogLevel)
	if err != nil {
		return err
	}
	a, err := agent.Start(cfg, log)
	if err != nil {
		return err
	}
	stopMetrics, err := serveMetrics(cfg.MetricsListen, a, log)
	if err != nil {
		a.Close()
		return err
	}
	defer stopMetrics()
	return serveUntilSignal(a, cfg.StopGrace.Duration, log)
}
