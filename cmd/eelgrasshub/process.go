package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// newLog returns a JSON log that writes to standard error.
func newLog(level string) (*logrus.Entry, error) {
	return newLogTo(os.Stderr, level)
}

// newLogTo is like newLog, with another destination.
func newLogTo(out io.Writer, level string) (*logrus.Entry, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(parsed)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return logrus.NewEntry(log), nil
}

// stopper is a role that can be stopped gracefully.
type stopper interface {
	Stop(ctx context.Context) error
}

// serveUntilSignal waits for SIGTERM or SIGINT and then stops the role gracefully within
// grace. A second signal cuts the grace short.
func serveUntilSignal(role stopper, grace time.Duration, log *logrus.Entry) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	log.WithField("signal", (<-signals).String()).Info("stopping")
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return role.Stop(ctx)
}
