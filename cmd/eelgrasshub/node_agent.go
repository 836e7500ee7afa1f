package main

import (
	"context"
	"net/http"

	"github.com/eelgrasshub/eelgrasshub/ingress"
	"github.com/eelgrasshub/eelgrasshub/nodeagent"
	"github.com/eelgrasshub/eelgrasshub/platform"
	"github.com/eelgrasshub/eelgrasshub/settings"
)

// nodeAgentCmd runs a node agent.
type nodeAgentCmd struct {
	roleOptions
}

func nodeAgentCommand() command {
	return command{
		name:  "node-agent",
		short: "run the process beside a worker of the operators' platform",
		long:  "Stops immediately on SIGTERM. Running tasks continue under their leases until the next node agent recovers them.",
		data:  &nodeAgentCmd{},
	}
}

// Execute implements flags.Commander.
func (c *nodeAgentCmd) Execute([]string) error {
	disableBufferWarning()
	cfg, err := settings.Load[settings.NodeAgent](c.Settings)
	if err != nil {
		return err
	}
	log, endLog, err := startLog(c.LogLevel, cfg.ID)
	if err != nil {
		return err
	}
	defer endLog()
	agentCfg := platform.NodeAgentConfig(cfg, log)
	a, err := nodeagent.Start(agentCfg)
	if err != nil {
		return err
	}
	registry, err := ingress.Start(cfg.RegistryListen, platform.NewHeartbeatHandler(a, agentCfg.Worker, log), internalLimits(), log)
	if err != nil {
		return err
	}
	stopMetrics, err := serveMetrics(cfg.MetricsListen, nodeAgentMetrics{a}, log)
	if err != nil {
		return err
	}
	defer stopMetrics()
	waitForStopSignal(log)
	ctx, cancel := context.WithTimeout(context.Background(), cfg.StopGrace.Duration)
	defer cancel()
	if err := registry.Shutdown(ctx); err != nil {
		log.WithError(err).Warn("aborted heartbeats in progress")
	}
	return a.Stop(ctx)
}

type nodeAgentMetrics struct{ agent *nodeagent.Agent }

// MetricsHandler implements metricsProvider.
func (m nodeAgentMetrics) MetricsHandler() http.Handler { return counterHandler(m.agent.Counters()) }
