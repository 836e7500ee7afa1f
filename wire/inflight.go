package wire

import "sync"

// inflight counts running exchanges and rejects new ones once stopped. It is safe for
// concurrent use.
type inflight struct {
	mu      sync.Mutex
	running int
	stopped bool
	idle    chan struct{}
}

// begin counts one exchange. It returns false after stop.
func (f *inflight) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return false
	}
	f.running++
	return true
}

func (f *inflight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
	f.closeIfIdle()
}

// stop rejects further exchanges and returns a channel that is closed when none is
// running.
func (f *inflight) stop() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	if f.idle == nil {
		f.idle = make(chan struct{})
		f.closeIfIdle()
	}
	return f.idle
}

// closeIfIdle closes idle if stopped and no exchange is running. The count cannot grow
// again then.
func (f *inflight) closeIfIdle() {
	if f.stopped && f.running == 0 {
		close(f.idle)
	}
}

func (f *inflight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running
}

func (f *inflight) isStopped() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopped
}
