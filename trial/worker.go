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

// Worker is one worker of a Cluster: a stand-in target and its agent. It is safe for concurrent
// use.
type Worker struct {
	ID     string
	Target *standin.Server

	server   *http.Server
	listener net.Listener
	options  Options

	mu      sync.Mutex
	cfg     settings.Agent
	current *agent.Agent // nil while the agent is not running
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
	go func() { _ = w.server.Serve(l) }() // returns after KillInstance
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

// StartAgent starts the agent, also after it has stopped: a new incarnation without any state
// of the previous one.
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

// KillAgent stops the agent immediately, without draining or a departure notice. Its
// connections are closed, as those of a killed process are. The target runs on.
func (w *Worker) KillAgent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current != nil {
		w.current.Close()
		w.current = nil
	}
}

// KillInstance stops the whole instance for good: the agent, the target and all its work.
func (w *Worker) KillInstance() {
	w.KillAgent()
	_ = w.server.Close()
	w.Target.Close()
}

// StopAgent stops the agent gracefully. It returns an error if work in progress was left behind.
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

// DrainAgent makes the agent refuse new work while it runs on.
func (w *Worker) DrainAgent() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current == nil {
		return ErrNotRunning
	}
	w.current.Drain()
	return nil
}

// AgentRunning reports whether the agent is running.
func (w *Worker) AgentRunning() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current != nil
}

func (w *Worker) close() { w.KillInstance() }
