package trial

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/agent"
	"github.com/eelgrasshub/eelgrasshub/document/schema"
	"github.com/eelgrasshub/eelgrasshub/settings"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

// Worker is one worker of a Cluster: a target stand-in and the agent beside it.
// It is safe for concurrent use.
type Worker struct {
	ID     string
	Target *standin.Server

	server   *http.Server
	listener net.Listener
	log      Options

	mu  sync.Mutex
	cfg settings.Agent
	now *agent.Agent // nil while it is down
}

func newWorker(s site, service string, seeds []string, o Options) (*Worker, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	target := o.Target
	target.Name = s.name
	target.Accelerators = s.accelerators
	w := &Worker{ID: s.name, Target: standin.New(target), listener: l, log: o}
	w.server = w.Target.HTTPServer()
	go func() { _ = w.server.Serve(l) }() // ends with close
	w.cfg = settings.Agent{
		ID:           s.name,
		Service:      service,
		Region:       region,
		Zone:         s.zone,
		Rack:         s.rack,
		Listen:       loopback,
		Seeds:        seeds,
		ClusterKey:   clusterKey,
		Target:       "http://" + l.Addr().String(),
		Accelerators: s.accelerators,
		Slots:        standin.DefaultSlots,
		Connections:  standin.DefaultConnections,
		Cores:        standin.DefaultCores,
		MemoryMB:     standin.DefaultMemoryMB,
		ReportPeriod: schema.Duration{Duration: o.ReportEvery},
		StopGrace:    schema.Duration{Duration: time.Minute},
	}
	return w, nil
}

// Start starts the agent, also again after it has ended: a new incarnation,
// which knows nothing of the earlier one.
func (w *Worker) Start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.now != nil {
		return nil
	}
	a, err := agent.Start(w.cfg, w.log.Log)
	if err != nil {
		return err
	}
	w.now = a
	return nil
}

// Kill ends the agent at once, without draining or a goodbye. Its connections
// are closed, as those of a killed process are. The target runs on.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.now != nil {
		w.now.Close()
		w.now = nil
	}
}

// Fail ends the whole instance: agent, target and all that runs there, for good.
func (w *Worker) Fail() {
	w.Kill()
	_ = w.server.Close()
	w.Target.Close()
}

// Stop is a planned stop of the agent. It returns an error if work in progress
// was left behind.
func (w *Worker) Stop(ctx context.Context) error {
	w.mu.Lock()
	a := w.now
	w.now = nil
	w.mu.Unlock()
	if a == nil {
		return nil
	}
	return a.Stop(ctx)
}

// Drain lets the agent refuse new work and run on.
func (w *Worker) Drain() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.now == nil {
		return ErrDown
	}
	w.now.Drain()
	return nil
}

// Up says whether the agent runs.
func (w *Worker) Up() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now != nil
}

func (w *Worker) close() { w.Fail() }
