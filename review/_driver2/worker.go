package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// worker is a sound worker of the platform that takes its orders by calls. It starts whatever it is
// ordered to start.
type worker struct {
	addr, zone, rack string
	capacity         capacity
	rec              *record
	behavior         func(spec string) behavior
	server           *http.Server
	advice           *adviceService // nil if starts need no ticket
	createdAt        time.Time

	mu         sync.Mutex
	id         string // of the present incarnation; empty while it is down
	fence      uint64
	leaseEnd   int64 // on the worker's clock, in milliseconds
	running    map[string]*taskRun
	highestRun map[string]int
	ended      [][5]any
	lastEnd    int
	changed    chan struct{} // closed at the next end
	runs       []*taskRun
	seq        int64
}

// capacity is a worker's capacity, as in its heartbeats.
type capacity struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"mem_mb"`
	GPU   int `json:"gpu"`
}

// behavior is how a task behaves.
type behavior struct {
	runTime time.Duration
	// lasts makes the task run until it is stopped. It is at work after startup.
	lasts bool
	// fails makes the task fail after runTime.
	fails bool
}

// accelerators is the number of accelerators of a worker.
const accelerators = 8

const (
	startup    = 300 * time.Millisecond
	listedEnds = 500
)

// taskRun is one run of a task.
type taskRun struct {
	task      string
	number    int
	worker    string // ID of the incarnation
	startedAt time.Time
	endedAt   time.Time // zero while it runs
	reason    string
	behavior  behavior
	timer     *time.Timer
}

// percent returns what the worker reports of the run's progress.
func (r *taskRun) percent() int {
	since := time.Since(r.startedAt)
	if r.behavior.lasts {
		return min(100, int(100*since/startup))
	}
	return min(99, int(100*since/r.behavior.runTime))
}

func startWorker(rec *record, addr, zone, rack string, b func(string) behavior) (*worker, error) {
	w := &worker{addr: addr, zone: zone, rack: rack, capacity: capacity{32000, 65536, accelerators}, rec: rec, behavior: b}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w, w.begin()
}

// begin starts an incarnation, which knows nothing of the ones before. The mutex is held.
func (w *worker) begin() error {
	listener, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.id = fmt.Sprintf("i-%08x", rand.Uint32())
	w.createdAt = time.Now().Add(-time.Minute)
	w.fence, w.leaseEnd, w.lastEnd, w.seq, w.ended = 0, 0, 0, 0, nil
	w.running, w.highestRun, w.changed = map[string]*taskRun{}, map[string]int{}, make(chan struct{})
	id := w.id
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("Instance-Id", id) })
	mux.HandleFunc("POST /run-start", w.order(id, w.start))
	mux.HandleFunc("POST /run-stop", w.order(id, w.stop))
	mux.HandleFunc("POST /pace", w.order(id, w.pace))
	mux.HandleFunc("POST /hold", w.order(id, w.hold))
	w.server = &http.Server{Handler: mux, ErrorLog: quietLog}
	server := w.server
	go func() { _ = server.Serve(listener) }() // it returns when the server is closed
	return nil
}

// crash ends the incarnation with its runs. The next one starts at the same address after downFor.
func (w *worker) crash(downFor time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.add("worker %s crashes with %d runs, and starts again in %v", w.id, len(w.running), downFor)
	_ = w.server.Close()
	w.id = "" // it sends no heartbeats
	for _, r := range w.running {
		if r.timer != nil {
			r.timer.Stop()
		}
		r.endedAt, r.reason = time.Now(), "gone with its worker"
	}
	w.running = map[string]*taskRun{}
	time.AfterFunc(downFor, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if err := w.begin(); err != nil {
			w.rec.add("worker does not start again: %v", err)
			return
		}
		w.rec.add("worker %s has started", w.id)
	})
}

// workerOrder is the body of a call.
type workerOrder struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Ticket   string `json:"ticket"`
	Until    int64  `json:"until_ms"`
	Fence    uint64 `json:"fencing_token"`
	LastSeen int    `json:"last_seen"`
	WaitMs   int64  `json:"wait_ms"`
}

// order returns a handler that checks the incarnation and the fencing token. The handler has the mutex.
func (w *worker) order(id string, handle func(context.Context, workerOrder) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, req *http.Request) {
		var o workerOrder
		if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
			w.reply(rw, http.StatusBadRequest, nil)
			return
		}
		if req.Header.Get("Expect-Instance") != id {
			w.reply(rw, http.StatusMisdirectedRequest, nil)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.id != id {
			panic(http.ErrAbortHandler) // it has crashed
		}
		if o.Fence < w.fence {
			w.reply(rw, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		w.fence = o.Fence
		status, body := handle(req.Context(), o)
		if w.id != id {
			panic(http.ErrAbortHandler)
		}
		w.reply(rw, status, body)
	}
}

func (w *worker) reply(rw http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clock_ms"] = w.clock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller may have left
}

func (w *worker) clock() int64 { return time.Since(w.createdAt).Milliseconds() }

// extendLease extends the lease of all runs, to maxLease from now at most. The mutex is held.
func (w *worker) extendLease(until int64) {
	until = min(until, w.clock()+maxLease.Milliseconds())
	if until <= w.leaseEnd {
		return
	}
	w.leaseEnd = until
	time.AfterFunc(time.Duration(until-w.clock()+1)*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.clock() < w.leaseEnd {
			return
		}
		for _, r := range w.running {
			w.end(r, "lapsed")
		}
	})
}

func (w *worker) start(_ context.Context, o workerOrder) (int, map[string]any) {
	w.extendLease(o.Until)
	switch r := w.running[o.Task]; {
	case r != nil && r.number == o.Run:
		return http.StatusOK, nil
	case o.Run <= w.highestRun[o.Task] || r != nil:
		return http.StatusConflict, map[string]any{"reason": "old"}
	case w.advice != nil && !w.advice.valid(o.Ticket, o.Task, w.id):
		return http.StatusConflict, map[string]any{"reason": "ticket"}
	case o.Until <= w.clock():
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	r := &taskRun{task: o.Task, number: o.Run, worker: w.id, startedAt: time.Now(), behavior: w.behavior(o.Spec)}
	w.running[o.Task] = r
	w.highestRun[o.Task] = o.Run
	w.runs = append(w.runs, r)
	if r.behavior.runTime > 0 {
		reason := "done"
		if r.behavior.fails {
			reason = "failed"
		}
		r.timer = time.AfterFunc(r.behavior.runTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, reason)
		})
	}
	return http.StatusOK, nil
}

func (w *worker) stop(_ context.Context, o workerOrder) (int, map[string]any) {
	w.highestRun[o.Task] = max(w.highestRun[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.number == o.Run {
		time.AfterFunc(stopTime/2, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, "stopped")
		})
	}
	return http.StatusOK, nil
}

func (w *worker) pace(_ context.Context, o workerOrder) (int, map[string]any) {
	if r := w.running[o.Task]; r == nil || r.number != o.Run {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	return http.StatusOK, nil
}

// hold renews the lease, forgets acknowledged ends and waits for a further one if it is asked to.
func (w *worker) hold(ctx context.Context, o workerOrder) (int, map[string]any) {
	w.extendLease(o.Until)
	w.ended = slices.DeleteFunc(w.ended, func(end [5]any) bool { return end[0].(int) <= o.LastSeen })
	if changed := w.changed; len(w.ended) == 0 && o.WaitMs > 0 {
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-ctx.Done():
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.number, "", r.percent(), 1})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": append([][5]any{}, w.ended[:min(len(w.ended), listedEnds)]...)}
}

// end ends a run and lists its end. The mutex is held.
func (w *worker) end(r *taskRun, reason string) {
	if w.running[r.task] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.running, r.task)
	r.endedAt, r.reason = time.Now(), reason
	w.lastEnd++
	w.ended = append(w.ended, [5]any{w.lastEnd, r.task, r.number, reason, ""})
	close(w.changed)
	w.changed = make(chan struct{})
}

// sendHeartbeats sends heartbeats to the agent until stop is closed.
func (w *worker) sendHeartbeats(agent string, stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		pause := heartbeat
		if !w.sendHeartbeat(client, agent) {
			pause = heartbeat / 5
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

// sendHeartbeat sends one heartbeat and reports whether it was acknowledged.
func (w *worker) sendHeartbeat(client *http.Client, agent string) bool {
	w.mu.Lock()
	id := w.id
	w.seq++
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "capacity": w.capacity, "labels": []string{"a", w.rack}, "clock_ms": w.clock(), "seq": w.seq,
	})
	w.mu.Unlock()
	if err != nil || id == "" {
		return false
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+agent+"/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// tasks returns the tasks that run, in order.
func (w *worker) tasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for task := range w.running {
		out = append(out, task)
	}
	slices.Sort(out)
	return out
}

// allRuns returns copies of all runs so far.
func (w *worker) allRuns() []taskRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []taskRun
	for _, r := range w.runs {
		out = append(out, *r)
	}
	return out
}

// describe describes a run for the record.
func (r *taskRun) describe(since time.Time) string {
	end := "still runs"
	if !r.endedAt.IsZero() {
		end = fmt.Sprintf("%s at %.3f", r.reason, r.endedAt.Sub(since).Seconds())
	}
	return fmt.Sprintf("%s#%d began at %.3f, %s", r.task, r.number, r.startedAt.Sub(since).Seconds(), end)
}

func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.server.Close()
}
