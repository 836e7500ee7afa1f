package main

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

// targetStandinCmd runs a stand-in for a worker and its target.
type targetStandinCmd struct {
	Listen       string        `long:"listen" default:"127.0.0.1:0" value-name:"ADDR" description:"address to serve the target protocol on"`
	Name         string        `long:"name" default:"worker" description:"name of the worker in its audit"`
	Accelerators int           `long:"accelerators" default:"8"`
	Slots        int           `long:"slots" default:"8" description:"quick requests that run at once at full speed"`
	Work         time.Duration `long:"work" default:"2ms" description:"service time of a quick request that does not specify it"`
	LogLevel     string        `long:"log-level" default:"info"`
}

func targetStandinCommand() command {
	return command{
		name:  "target-standin",
		short: "run a stand-in worker with a target, for trials and tests",
		long:  "Runs quick requests and gang tasks according to the target protocol and keeps an audit log of what actually ran: GET /standin/audit. Faults are injected by POST /standin/faults. On SIGTERM it completes requests in progress.",
		data:  &targetStandinCmd{},
	}
}

// Execute implements flags.Commander.
func (c *targetStandinCmd) Execute([]string) error {
	worker := standin.New(standin.Options{
		Name:         c.Name,
		Accelerators: c.Accelerators,
		Slots:        c.Slots,
		ServiceTime:  c.Work,
	})
	defer worker.Close()
	srv := worker.HTTPServer()
	return serveStandin("target stand-in "+c.Name, c.Listen, c.LogLevel, srv, srv.Shutdown)
}
