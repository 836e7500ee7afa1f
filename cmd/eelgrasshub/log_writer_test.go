package main

import (
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// blockedWriter blocks every Write until gate is closed.
type blockedWriter struct {
	gate chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (r *blockedWriter) Write(p []byte) (int, error) {
	<-r.gate
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

// Guards against a process that blocks because its log is not read, and against lines
// dropped without notice.
func TestLogWriterNeverBlocks(t *testing.T) {
	c := qt.New(t)
	r := &blockedWriter{gate: make(chan struct{})}
	w := newLogWriter(r)
	for range logQueueLen + 100 {
		_, err := w.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
	}
	close(r.gate)
	w.Close()
	<-w.done
	c.Check(r.text.String(), qt.Contains, "log lines dropped")
	c.Check(strings.Count(r.text.String(), "line\n") <= logQueueLen+2, qt.IsTrue)
}
