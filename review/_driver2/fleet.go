package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// The bounds of the small deployments, as in their settings.
const (
	maxLease     = 6 * time.Second
	stopTime     = 900 * time.Millisecond
	contact      = 3 * time.Second
	configApply  = 2 * time.Second
	cancelWithin = 3 * time.Second
	visible      = 3 * time.Second
	reclaim      = 3400 * time.Millisecond
	finish       = 14 * time.Second
	gatewayMB    = 284
	heartbeat    = 1500 * time.Millisecond
)

const (
	serviceName = "dispatch"
	queueHost   = "score.example"
	apiKey      = "d4a3hwrr6x73d3zji9n7" // of a tenant with 16 guaranteed accelerators
	otherKey    = "3hh2b9wu3fexd9dnn2ct" // of a second tenant
	gateways    = 3
)

var zones = []string{"akl-wharf", "akl-airside", "akl-east"}

// quietLog drops what HTTP servers log of aborted calls.
var quietLog = log.New(io.Discard, "", 0)

// options are the parts of a fleet that cases choose.
type options struct {
	workers int
	// behavior is how a task with a given specification behaves.
	behavior func(spec string) behavior
	// otherGuaranteed is the guarantee of the second tenant, in accelerators.
	otherGuaranteed int
	// advice makes the queues ask an advice service which workers may run a step.
	advice bool
}

// fleet is a small deployment: gateways and node agents as processes, the platform as stand-ins.
type fleet struct {
	rec      *record
	dir      string
	network  string // the first two bytes of all addresses
	port     int
	store    *limitedStore
	gateways []*process
	agents   []*process
	workers  []*worker
	stop     chan struct{}
	// otherGuaranteed is that of the options.
	otherGuaranteed int
	advice          *adviceService // nil if the queues need none
}

const binary = "target/eelgrasshub"

func newFleet(rec *record, o options) (*fleet, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, stop: make(chan struct{}), otherGuaranteed: o.otherGuaranteed}
	if err := f.start(o); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(o options) error {
	f.network = fmt.Sprintf("127.%d", 30+rand.IntN(200))
	listener, err := net.Listen("tcp", f.network+".0.1:0")
	if err != nil {
		return err
	}
	f.port = listener.Addr().(*net.TCPAddr).Port
	_ = listener.Close()
	f.store, err = newLimitedStore(f.rec, f.addr(0, 1, 0))
	if err != nil {
		return err
	}
	if o.advice {
		if f.advice, err = newAdviceService(f.rec, f.adviceAddr()); err != nil {
			return err
		}
	}
	f.configure(1, defaultRoutes())
	for i := range gateways {
		if err := f.startGateway(i); err != nil {
			return err
		}
	}
	for i := range o.workers {
		if err := f.startNode(i, o); err != nil {
			return err
		}
	}
	return f.await(20*time.Second, "all workers are registered", func() bool {
		return len(f.store.Keys("workloads/worker/")) >= o.workers
	})
}

// addr returns an address of machine n of a class. Ports are the same on all machines.
func (f *fleet) addr(class, n, port int) string {
	return net.JoinHostPort(fmt.Sprintf("%s.%d.%d", f.network, class, n), strconv.Itoa(f.port+port))
}

// Classes of machines, and ports on a machine.
const (
	classFront = 1
	classSide  = 2

	portPeers   = 0
	portCallers = 1
	portReady   = 2
	portControl = 3
	portMetrics = 4
	portApp     = 5
)

func (f *fleet) seeds() string {
	var out []string
	for i := range gateways {
		out = append(out, strconv.Quote(f.addr(classFront, i+1, portControl)))
	}
	return "[" + strings.Join(out, ",") + "]"
}

// startGateway starts a gateway with the settings that deploy/gateway.toml.tmpl gives it.
func (f *fleet) startGateway(i int) error {
	name := fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i+1)
	settings := []string{
		line("id", name), line("region", "akl"), line("zone", zones[i%len(zones)]),
		line("listen", f.addr(classFront, i+1, portPeers)), line("caller_listen", f.addr(classFront, i+1, portCallers)),
		line("ready_listen", f.addr(classFront, i+1, portReady)), line("metrics_listen", f.addr(classFront, i+1, portMetrics)),
		"seeds = " + f.seeds(), line("cluster_key", "eelgrasshub-deployment-key"), line("store", f.store.addr),
		line("max_hold", maxLease.String()), line("stop_time", stopTime.String()), line("restore", "600ms"), "remote_factor = 3",
		line("reclaim", reclaim.String()), line("harm", "4000ms"), line("retention", "120s"), line("key_life", "5000ms"),
		line("stop_grace", "6s"), "cores = 0.4", "link_mbps = 1000.0",
	}
	if f.advice != nil {
		settings = append(settings, line("advice", f.adviceAddr()))
	}
	p, err := f.startRole("gateway", name, settings)
	if err != nil {
		return err
	}
	f.gateways = append(f.gateways, p)
	return nil
}

// startNode starts a worker, which sends heartbeats, and its agent with the settings that
// deploy/node-agent.toml.tmpl gives it.
func (f *fleet) startNode(i int, o options) error {
	zone := zones[i%len(zones)]
	app := f.addr(classSide, i+1, portApp)
	w, err := startWorker(f.rec, app, zone, fmt.Sprintf("r1-%d", i/3), o.behavior)
	if err != nil {
		return err
	}
	w.advice = f.advice
	f.workers = append(f.workers, w)
	name := fmt.Sprintf("side-%s-%d", zone, i+1)
	p, err := f.startRole("node-agent", name, []string{
		line("id", name), line("region", "akl"), line("zone", zone),
		line("listen", f.addr(classSide, i+1, portPeers)), line("registry_listen", f.addr(classSide, i+1, portControl)),
		line("metrics_listen", f.addr(classSide, i+1, portMetrics)), fmt.Sprint("gateway_port = ", f.port),
		"seeds = " + f.seeds(), line("cluster_key", "eelgrasshub-deployment-key"), line("store", f.store.addr),
		line("worker", app), line("orders", "push"), line("max_hold", maxLease.String()), line("stop_grace", "2s"),
	})
	if err != nil {
		return err
	}
	f.agents = append(f.agents, p)
	go w.sendHeartbeats(f.addr(classSide, i+1, portControl), f.stop)
	return nil
}

func (f *fleet) startRole(role, name string, settings []string) (*process, error) {
	path := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(path, []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	return startProcess(f.rec, f.dir, name, binary, role, "--settings", path)
}

func line(key, value string) string { return key + " = " + strconv.Quote(value) }

// route is a route of the operators' configuration.
type route struct {
	name, prefix string
	priority     int
	timeoutMs    int
}

// The prefixes of the routes.
const (
	urgentPrefix = "/pufi791/"
	batchPrefix  = "/pule252/"
)

func defaultRoutes() []route {
	return []route{{"r-zzyyjsg", urgentPrefix, 0, 3000}, {"r-3ajwyy7", batchPrefix, 2, 3000}}
}

// configure writes a version of the operators' configuration.
func (f *fleet) configure(version int, routes []route) {
	var encoded []map[string]any
	for _, r := range routes {
		encoded = append(encoded, map[string]any{
			"advice": f.adviceConfig(),
			"name":   r.name, "host": queueHost, "prefix": r.prefix, "route_kind": "unsafe", "timeout_ms": r.timeoutMs,
			"target_latency_ms": 250, "priority": r.priority, "service": serviceName, "max_attempts": 4, "stretch": 3.0, "public": false,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": encoded,
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", "rejects_overload": false}},
		"tenants": []map[string]any{
			{"name": "kaje80", "api_keys": []string{apiKey}, "priority": 1, "guaranteed": map[string]any{"gpu": 16}},
			{"name": "muro17", "api_keys": []string{otherKey}, "priority": 1, "guaranteed": map[string]any{"gpu": f.otherGuaranteed}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	f.store.Put("op/config", text)
	f.rec.add("operator: wrote configuration %d with %v; acknowledged", version, routes)
}

func (f *fleet) adviceAddr() string { return f.addr(0, 2, 0) }

// adviceConfig is what the configuration tells of the advice that a queue needs; nil for none.
func (f *fleet) adviceConfig() any {
	if f.advice == nil {
		return nil
	}
	return map[string]any{
		"decision_ms": adviceDecision.Milliseconds(), "interval_ms": adviceInterval.Milliseconds(), "valid_ms": ticketLifetime.Milliseconds(),
	}
}

func (f *fleet) await(limit time.Duration, condition string, holds func() bool) error {
	for end := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", limit, condition)
		}
	}
	return nil
}

// mustAwait is await for what has to hold for the case to run.
func (f *fleet) mustAwait(limit time.Duration, condition string, holds func() bool) {
	if err := f.await(limit, condition, holds); err != nil {
		panic(err)
	}
}

// jobRun is a run of a task on a worker.
type jobRun struct {
	taskRun
	on *worker
}

// runsOf returns the runs of a job on all workers.
func (f *fleet) runsOf(job string) []jobRun {
	var out []jobRun
	for _, w := range f.workers {
		for _, r := range w.allRuns() {
			if strings.HasPrefix(r.task, job+".") {
				out = append(out, jobRun{r, w})
			}
		}
	}
	return out
}

// recordRuns records the runs of a job.
func (f *fleet) recordRuns(job string) {
	for _, r := range f.runsOf(job) {
		f.rec.add("worker %s: run %s", r.taskRun.worker, r.describe(f.rec.start))
	}
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	close(f.stop)
	for _, p := range append(f.gateways, f.agents...) {
		p.stop()
	}
	for _, w := range f.workers {
		w.close()
	}
	if f.advice != nil {
		f.advice.close()
	}
	if f.store != nil {
		f.store.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}
