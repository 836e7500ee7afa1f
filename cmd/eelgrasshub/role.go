package main

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/ingress"
)

// roleOptions are the options of all long-running roles.
type roleOptions struct {
	Settings string `short:"s" long:"settings" required:"true" value-name:"FILE" description:"the process's settings, in TOML"`
	LogLevel string `long:"log-level" default:"info" description:"minimum level of log lines: debug, info, warn or error"`
}

// metricsProvider is a role that exports metrics.
type metricsProvider interface {
	MetricsHandler() http.Handler
}

// serveMetrics serves a role's metrics on addr until stop is called. If addr is empty, it
// does nothing.
func serveMetrics(addr string, role metricsProvider, log logrus.FieldLogger) (stop func(), err error) {
	if addr == "" {
		return func() {}, nil
	}
	srv, err := ingress.Start(addr, role.MetricsHandler(), internalLimits(), log)
	if err != nil {
		return nil, err
	}
	return func() { _ = srv.Close() }, nil
}
