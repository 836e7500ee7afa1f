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
		long:  "Stops gracefully on SIGTERM: it takes no new work and waits for what runs, up to stop_grace. Gang tasks that still run then go on at the target under their leases.",
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
	stopMetrics, err := serveMetrics(cfg.MetricsListen, a)
	if err != nil {
		a.Close()
		return err
	}
	defer stopMetrics()
	return serveUntilSignal(a, cfg.StopGrace.Duration, log)
}
