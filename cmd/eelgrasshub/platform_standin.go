package main

import (
	"context"
	"net"
	"net/http"

	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

// platformStandinCmd runs a stand-in for the platform's store.
type platformStandinCmd struct {
	Listen   string `long:"listen" default:"127.0.0.1:0" value-name:"ADDR" description:"address to serve the etcd v3 JSON API on"`
	LogLevel string `long:"log-level" default:"info"`
}

func platformStandinCommand() command {
	return command{
		name:  "platform-standin",
		short: "run a stand-in of the platform's key-value service, for trials and tests",
		long:  "Keeps everything in memory. Faults are injected by POST /standin/faults. It is not a replacement for the platform's service.",
		data:  &platformStandinCmd{},
	}
}

// Execute implements flags.Commander.
func (c *platformStandinCmd) Execute([]string) error {
	store := standin.New(standin.Options{})
	defer store.Close()
	srv := &http.Server{Handler: store}
	// A graceful shutdown would wait for watches, which never end.
	stop := func(context.Context) error { return srv.Close() }
	return serveStandin("platform stand-in", c.Listen, c.LogLevel, srv, stop)
}

// serveStandin serves until a stop signal arrives, and then calls stop.
func serveStandin(name, addr, level string, srv *http.Server, stop stopFunc) error {
	log, err := newLog(level)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	log.WithField("address", l.Addr().String()).Info(name + " started")
	go func() { _ = srv.Serve(l) }() // returns after stop
	return serveUntilSignal(stop, commandTimeout, log)
}
