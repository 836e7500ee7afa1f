package main

import (
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// logQueueLen is the maximum number of queued lines. Further ones are dropped, since a
	// process must not block on the reader of its log.
	logQueueLen = 4096
	// logFlushTimeout limits how long Close waits for queued lines to be written.
	logFlushTimeout = 200 * time.Millisecond
)

// logWriter writes lines on a goroutine of its own, without blocking the caller, and
// counts dropped lines.
type logWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, lines: make(chan []byte, logQueueLen), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// startLog returns the log of a role, which writes to standard output, and a function that
// closes it.
func startLog(level, node string) (*logrus.Entry, func(), error) {
	out := newLogWriter(os.Stdout)
	log, err := newLogTo(out, level)
	if err != nil {
		return nil, nil, err
	}
	return log.WithField("node", node), out.Close, nil
}

// Write implements io.Writer. It never blocks or fails.
func (w *logWriter) Write(line []byte) (int, error) {
	lineCopy := append([]byte(nil), line...)
	select {
	case w.lines <- lineCopy:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *logWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
			continue
		default:
		}
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.stop:
			return
		}
	}
}

// write writes a line, preceded by the number of lines dropped before it, if any.
func (w *logWriter) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n)
	}
	_, _ = w.out.Write(line) // an error cannot be reported anywhere
}

// Close writes the queued lines, waiting at most logFlushTimeout. Later lines are lost.
func (w *logWriter) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(logFlushTimeout):
	}
}
