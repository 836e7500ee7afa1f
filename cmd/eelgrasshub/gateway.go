package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/gateway"
	"github.com/eelgrasshub/eelgrasshub/ingress"
	"github.com/eelgrasshub/eelgrasshub/platform"
	"github.com/eelgrasshub/eelgrasshub/settings"
)

// gatewayCmd runs a gateway on the operators' platform.
type gatewayCmd struct {
	roleOptions
}

func gatewayCommand() command {
	return command{
		name:  "gateway",
		short: "run a gateway on the operators' platform: it serves callers, and one gateway is the planner",
		long:  "Stops gracefully on SIGTERM: it reports that it is not ready, hands over the planner lease and completes calls in progress.",
		data:  &gatewayCmd{},
	}
}

// Execute implements flags.Commander.
func (c *gatewayCmd) Execute([]string) error {
	disableBufferWarning()
	cfg, err := settings.Load[settings.Gateway](c.Settings)
	if err != nil {
		return err
	}
	log, endLog, err := startLog(c.LogLevel, cfg.ID)
	if err != nil {
		return err
	}
	defer endLog()
	g, err := startGateway(cfg, log)
	if err != nil {
		return err
	}
	stopMetrics, err := serveMetrics(cfg.MetricsListen, g, log)
	if err != nil {
		return err
	}
	defer stopMetrics()
	return g.serveUntilSignal(cfg.StopGrace.Duration)
}

// gatewayRole is a gateway with its HTTP servers.
type gatewayRole struct {
	gateway *gateway.Gateway
	store   *platform.KVStore
	callers *ingress.Server
	ready   *ingress.Server
	log     *logrus.Entry
}

func startGateway(cfg settings.Gateway, log *logrus.Entry) (*gatewayRole, error) {
	kv := platform.NewKVStore(cfg.Store)
	g, err := gateway.Start(platform.GatewayConfig(cfg, kv, log))
	if err != nil {
		return nil, err
	}
	r := &gatewayRole{gateway: g, store: kv, log: log}
	r.callers, err = ingress.Start(cfg.CallerListen, platform.NewCallerHandler(g, log), callerLimits(cfg), log)
	if err != nil {
		return nil, err
	}
	if cfg.ReadyListen != "" {
		r.ready, err = ingress.Start(cfg.ReadyListen, platform.NewReadinessHandler(g.Ready), internalLimits(), log)
	}
	return r, err
}

const (
	// readinessDelay is how long a stopping gateway still accepts new calls. The load
	// balancer probes once a second and removes it after two failed probes.
	readinessDelay = 2500 * time.Millisecond
	// shutdownMargin is reserved from the grace period for the last steps.
	shutdownMargin = 500 * time.Millisecond
)

// serveUntilSignal serves until SIGTERM or SIGINT and then stops the gateway within grace.
func (r *gatewayRole) serveUntilSignal(grace time.Duration) error {
	waitForStopSignal(r.log)
	ctx, cancel := context.WithTimeout(context.Background(), grace-shutdownMargin)
	defer cancel()
	r.gateway.Drain(ctx)
	time.Sleep(min(readinessDelay, grace/2))
	if err := r.callers.Shutdown(ctx); err != nil {
		r.log.WithError(err).Warn("aborted calls in progress")
	}
	if r.ready != nil {
		_ = r.ready.Close() // pending probes need no response
	}
	return r.gateway.Stop(ctx)
}

// waitForStopSignal returns on SIGTERM or SIGINT. It only logs SIGHUP, since settings are
// read at startup.
func waitForStopSignal(log logrus.FieldLogger) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for s := range signals {
		if s != syscall.SIGHUP {
			log.WithField("signal", s.String()).Info("stopping")
			return
		}
		log.Info("ignored SIGHUP: settings are read at startup only")
	}
}

// disableBufferWarning disables the QUIC library's warning about socket buffers, which
// bypasses the process's log.
func disableBufferWarning() {
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true") // cannot fail for a valid name
}
