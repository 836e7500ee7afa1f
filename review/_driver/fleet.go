package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrasshub/eelgrasshub/platform/standin"
)

const (
	service           = "slotbook"
	queueHost         = "desk.example"
	apiKey            = "key-1"
	heartbeatInterval = 1500 * time.Millisecond
	// finish is finish_s: how long after the last submission jobs are asked for.
	finish = 14 * time.Second
	// idleLimit is how long a job may have nothing running then.
	idleLimit = 3 * time.Second
	// startLimit bounds the time until the fleet serves.
	startLimit = 20 * time.Second
)

// site is what the settings and the workers of a deployment have of its sheet.
type site struct {
	maxHold time.Duration
	bounds  string // further bounds in the gateways' settings
	born    bool   // workers report their start
}

var (
	peachline = site{maxHold: 6 * time.Second, bounds: boundSettings("400ms", "250ms", "2900ms", "4000ms")}
	utecn     = site{maxHold: 6 * time.Second, bounds: boundSettings("200ms", "100ms", "2700ms", "4500ms")}
	brannock  = site{maxHold: 6 * time.Second, bounds: boundSettings("200ms", "250ms", "2700ms", "4500ms"), born: true}
	lochspeir = site{maxHold: 10 * time.Second, bounds: boundSettings("900ms", "250ms", "3400ms", "4500ms"), born: true}
)

func boundSettings(stop, restore, reclaim, harm string) string {
	return fmt.Sprintf("stop_time = %q\nrestore = %q\nreclaim = %q\nharm = %q\n", stop, restore, reclaim, harm) +
		"remote_factor = 3\nretention = \"120s\"\nkey_life = \"5000ms\"\nstop_grace = \"6s\"\ncores = 0.4\nlink_mbps = 1000.0\n"
}

var zones = []string{"macon-hall", "augusta-hall", "valdosta-hall"}

// recorder writes record.txt: what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	begin time.Time
}

func (r *recorder) log(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %-8s %s\n", time.Since(r.begin).Seconds(), kind, fmt.Sprintf(format, args...))
}

// at formats a time as in the record.
func (r *recorder) at(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return fmt.Sprintf("%.3f", t.Sub(r.begin).Seconds())
}

// process is a process of the project.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// start starts the process. The kernel ends it with this program.
func (p *process) start() error {
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // it ends by a signal
		close(done)
	}(p.cmd, p.done)
	return nil
}

func (p *process) kill() {
	if p.cmd != nil {
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.done
	}
}

// fleet is a small deployment: gateways and node agents as processes, the platform's store and
// the workers as stand-ins in this program.
type fleet struct {
	rec      *recorder
	dir      string
	port     string
	store    storeStandin
	gateways []*process
	callers  []string // addresses for callers, by gateway
	agents   []*process
	workers  []*worker
}

// storeStandin is a stand-in of the platform's store.
type storeStandin interface {
	Addr() string
	Close()
	SetFaults(standin.StoreFaults)
	Configure(version int, service string, queues []standin.Queue, apiKeys ...string) error
	Keys(prefix string) []string
	Get(key string) (standin.Item, bool)
}

func gatewayHost(i int) string { return fmt.Sprint("127.31.0.", i+1) }
func agentHost(i int) string   { return fmt.Sprint("127.32.0.", i+1) }

// freePort returns a port that is free on all addresses of the fleet.
func freePort(gateways, agents int) (string, error) {
	for range 50 {
		l, err := net.Listen("tcp", gatewayHost(0)+":0")
		if err != nil {
			return "", err
		}
		_, port, _ := net.SplitHostPort(l.Addr().String())
		l.Close()
		free := true
		for i := range max(gateways, agents) {
			free = free && isFree(net.JoinHostPort(gatewayHost(i), port)) && isFree(net.JoinHostPort(agentHost(i), port))
		}
		if free {
			return port, nil
		}
	}
	return "", fmt.Errorf("no port is free on all addresses")
}

func isFree(addr string) bool {
	t, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	t.Close()
	u, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	u.Close()
	return true
}

// newFleet starts a fleet whose gateways use the store's own address.
func newFleet(rec *recorder, binary string, store storeStandin, gateways, agents int, s site) (*fleet, error) {
	return newFleetAt(rec, binary, store, slices.Repeat([]string{store.Addr()}, gateways), agents, s)
}

// newFleetAt starts a fleet and waits until its workers are registered. storeAddresses are the
// gateways' addresses of the store.
func newFleetAt(rec *recorder, binary string, store storeStandin, storeAddresses []string, agents int, s site) (*fleet, error) {
	gateways := len(storeAddresses)
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, store: store}
	if f.port, err = freePort(gateways, agents); err != nil {
		return f, err
	}
	var seeds []string
	for i := range gateways {
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(gatewayHost(i), f.port)))
	}
	common := fmt.Sprintf("region = \"georgia-central\"\nseeds = [%s]\ncluster_key = \"eelgrasshub-deployment-key\"\nmax_hold = \"%dms\"\n", strings.Join(seeds, ","), s.maxHold.Milliseconds())
	for i := range gateways {
		addr := net.JoinHostPort(gatewayHost(i), f.port)
		p, err := f.newProcess(binary, "gateway", fmt.Sprint("front-", i), common+fmt.Sprintf(
			"id = \"front-%d\"\nzone = %q\nstore = %q\nlisten = %q\ncaller_listen = %q\n", i, zones[i%len(zones)], storeAddresses[i], addr, addr)+
			s.bounds)
		if err != nil {
			return f, err
		}
		f.gateways, f.callers = append(f.gateways, p), append(f.callers, addr)
	}
	for i := range agents {
		addr := net.JoinHostPort(agentHost(i), f.port)
		w, err := newWorker(rec, i, addr, s)
		if err != nil {
			return f, err
		}
		f.workers = append(f.workers, w)
		p, err := f.newProcess(binary, "node-agent", fmt.Sprint("side-", i), common+fmt.Sprintf(
			"id = \"side-%d\"\nzone = %q\nstore = %q\nlisten = %q\nregistry_listen = %q\ngateway_port = %s\nworker = %q\norders = \"push\"\nstop_grace = \"2s\"\n",
			i, zones[i%len(zones)], store.Addr(), addr, addr, f.port, w.address))
		if err != nil {
			return f, err
		}
		f.agents = append(f.agents, p)
	}
	return f, f.awaitServing(agents)
}

func (f *fleet) newProcess(binary, role, name, settings string) (*process, error) {
	path := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, args: []string{binary, role, "--settings", path}, log: log}
	return p, p.start()
}

// awaitServing waits until all workers are on record and every gateway answers.
func (f *fleet) awaitServing(workers int) error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := len(f.store.Keys("workloads/worker/")) >= workers
		for i := range f.gateways {
			status, _ := f.call(i, http.MethodGet, "/desk/", "")
			ready = ready && status == http.StatusOK
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("the fleet does not serve within %v", startLimit)
}

// call sends a caller's request to a gateway. The status is 0 if there was no answer.
func (f *fleet) call(gateway int, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.callers[gateway]+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queueHost
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(raw))
}

// submit hands a job in, at one gateway after the other until it is accepted.
func (f *fleet) submit(id, body string) bool {
	for attempt := range 6 {
		gateway := attempt % len(f.callers)
		status, text := f.call(gateway, http.MethodPost, "/desk/"+id, body)
		f.rec.log("submit", "job %s at front-%d: %d %s", id, gateway, status, text)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job; empty if it is not told.
func (f *fleet) state(id string) string {
	for gateway := range f.callers {
		status, text := f.call(gateway, http.MethodGet, "/desk/"+id, "")
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &answer) == nil {
			return answer.State
		}
		if status == http.StatusGone {
			return "410"
		}
	}
	return ""
}

// planner returns the index of the gateway that holds the planner lease, -1 if none does.
func (f *fleet) planner() int {
	item, ok := f.store.Get("duty/planner/holder")
	if !ok {
		return -1
	}
	for i := range f.gateways {
		if bytes.Contains(item.Value, []byte(fmt.Sprintf("%q", fmt.Sprint("front-", i)))) {
			return i
		}
	}
	return -1
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, p := range append(f.gateways, f.agents...) {
		p.kill()
		p.log.Close()
	}
	for _, w := range f.workers {
		w.close()
	}
	f.store.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

// history returns the runs of each task, over all workers.
func (f *fleet) history() map[string][]run {
	out := map[string][]run{}
	for _, w := range f.workers {
		for _, r := range w.history() {
			out[r.task] = append(out[r.task], r)
		}
	}
	return out
}

// tasksRunning returns how many tasks run.
func (f *fleet) tasksRunning() int {
	total := 0
	for _, w := range f.workers {
		running, _ := w.counts()
		total += running
	}
	return total
}
