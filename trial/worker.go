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
	options  Options

	mu      sync.Mutex
	cfg     settings.Agent
	current *agent.Agent // nil while it is down
}

func newWorker(location workerLocation, service string, seeds []string, o Options) (*Worker, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	target := o.Target
	target.Name = location.name
	target.Accelerators = location.accelerators
	w := &Worker{ID: location.name, Target: standin.New(target), listener: l, options: o}
	w.server = w.Target.HTTPServer()
	go func() { _ = w.server.Serve(l) }() // ends with close
	w.cfg = settings.Agent{
		ID:           location.name,
		Service:      service,
		Region:       region,
		Zone:         location.zone,
		Rack:         location.rack,
		Listen:       loopback,
		Seeds:        seeds,
		ClusterKey:   clusterKey,
		Target:       "http://" + l.Addr().String(),
		Accelerators: location.accelerators,
		Slots:        standin.DefaultSlots,
		Connections:  standin.DefaultConnections,
		Cores:        standin.DefaultCores,
		MemoryMB:     standin.DefaultMemoryMB,
		ReportPeriod: schema.Duration{Duration: o.ReportPeriod},
		StopGrace:    schema.Duration{Duration: time.Minute},
	}
	return w, nil
}

// StartAgent starts the agent, also again after it has ended: a new incarnation,
// which knows nothing of the earlier one.
func (w *Worker) StartAgent() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current != nil {
		return nil
	}
	a, err := agent.Start(w.cfg, w.options.Log)
	if err != nil {
		return err
	}
	w.current = a
	return nil
}

// KillAgent ends the agent at once, without draining or a goodbye. Its connections
// are closed, as those of a killed process are. The target runs on.
func (w *Worker) KillAgent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current != nil {
		w.current.Close()
		w.current = nil
	}
}

// KillInstance ends the whole instance: agent, target and all that runs there, for good.
func (w *Worker) KillInstance() {
	w.KillAgent()
	_ = w.server.Close()
	w.Target.Close()
}

// StopAgent is a planned stop of the agent. It returns an error if work in progress
// was left behind.
func (w *Worker) StopAgent(ctx context.Context) error {
	w.mu.Lock()
	a := w.current
	w.current = nil
	w.mu.Unlock()
	if a == nil {
		return nil
	}
	return a.Stop(ctx)
}

// DrainAgent lets the agent refuse new work and run on.
func (w *Worker) DrainAgent() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current == nil {
		return ErrNotRunning
	}
	w.current.Drain()
	return nil
}

// AgentRunning says whether the agent runs.
func (w *Worker) AgentRunning() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current != nil
}

func (w *Worker) close() { w.KillInstance() }
