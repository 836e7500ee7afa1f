package main

import (
	"github.com/eelgrasshub/eelgrasshub/entry"
	"github.com/eelgrasshub/eelgrasshub/settings"
)

// entryCmd runs an entry.
type entryCmd struct {
	roleOptions
}

func entryCommand() command {
	return command{
		name:  "entry",
		short: "run an entry: the process that callers reach through the load balancer",
		long:  "Stops gracefully on SIGTERM: it reports that it is not ready, hands over its planner leaderships and completes requests in progress.",
		data:  &entryCmd{},
	}
}

// Execute implements flags.Commander.
func (c *entryCmd) Execute([]string) error {
	cfg, err := settings.Load[settings.Entry](c.Settings)
	if err != nil {
		return err
	}
	log, err := newLog(c.LogLevel)
	if err != nil {
		return err
	}
	e, err := entry.Start(cfg, log)
	if err != nil {
		return err
	}
	stopMetrics, err := serveMetrics(cfg.MetricsListen, e, log)
	if err != nil {
		e.Close()
		return err
	}
	defer stopMetrics()
	return serveUntilSignal(e, cfg.StopGrace.Duration, log)
}
