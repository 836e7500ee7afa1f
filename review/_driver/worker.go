package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxListedEnds is how many ends a worker returns at a time.
const maxListedEnds = 500

// run is one run of a task on one incarnation of a worker.
type run struct {
	task      string
	number    int
	worker    string // ID of the incarnation
	startedAt time.Time
	endedAt   time.Time // zero while it runs
	how       string    // how it ended, as listed; "gone" if its incarnation ended without listing it
	// notedAt is when last_seen reached the end; zero if it never did.
	notedAt time.Time
	// lapsed is set if the worker's lease lapsed between the end and notedAt.
	lapsed bool
	endNo  int
	length time.Duration
	timer  *time.Timer
}

// percent returns how much of the run's work is done, and 100 for a task that lasts.
func (r *run) percent() int {
	if r.length >= time.Hour {
		return 100
	}
	return int(min(99, 100*time.Since(r.startedAt)/max(r.length, 1)))
}

// worker is a stand-in of one worker of the platform, over all its incarnations. It follows the
// page on running tasks: leases on its own clock, the highest fencing token, ends numbered from 1
// and returned until last_seen reaches them, 500 at a time.
type worker struct {
	rec      *recorder
	name     string
	rack     string
	zone     string
	cpu      int // thousandths of a core
	memMB    int
	gpu      int
	agent    string // control address of the agent on the same machine
	maxHold  time.Duration
	listener net.Listener
	server   *http.Server
	address  string
	withBorn bool // it reports its start

	mu       sync.Mutex
	draining bool
	leavesAt time.Time     // while draining
	changed  chan struct{} // closed and replaced at each end
	up       bool
	id       string
	lives    int
	born     time.Time
	seq      int
	token    uint64
	leaseEnd time.Duration // on the worker's clock; 0: none
	lapsedAt time.Duration // the last leaseEnd that has passed
	running  map[string]*run
	highest  map[string]int // highest run that was stopped or ended, by task
	ended    []*run         // not yet forgotten, by endNo
	lastEnd  int
	runs     []*run
}

// newWorker starts a worker.
func newWorker(rec *recorder, index int, agent string, s site) (*worker, error) {
	w := &worker{
		withBorn: s.born,
		rec:      rec, name: fmt.Sprint("w", index), rack: fmt.Sprint("r", index/3), zone: zones[index%len(zones)],
		cpu: 128_000, memMB: 262_144, gpu: 8, agent: agent, maxHold: s.maxHold, changed: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	w.start(listener)
	go w.heartbeatLoop()
	return w, nil
}

// start begins an incarnation, which runs nothing and has seen no fencing token.
func (w *worker) start(listener net.Listener) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives++
	w.id = fmt.Sprintf("i-%s-%d", w.name, w.lives)
	w.born, w.seq, w.token, w.leaseEnd, w.lapsedAt, w.lastEnd = time.Now(), 0, 0, 0, 0, 0
	w.running, w.highest, w.ended = map[string]*run{}, map[string]int{}, nil
	w.up = true
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("Instance-Id", w.currentID()) })
	mux.HandleFunc("POST /run-start", w.call(w.runStart))
	mux.HandleFunc("POST /run-stop", w.call(w.runStop))
	mux.HandleFunc("POST /hold", w.call(w.hold))
	mux.HandleFunc("POST /pace", w.call(w.pace))
	w.listener, w.server = listener, &http.Server{Handler: mux}
	go w.server.Serve(listener)
}

func (w *worker) currentID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

// crash ends the incarnation without notice, as a loss of power does, and starts the next one
// under a new ID at the same address after a pause.
func (w *worker) crash(pause time.Duration) {
	w.mu.Lock()
	w.up = false
	var lost []string
	for task, r := range w.running {
		r.timer.Stop()
		r.endedAt, r.how = time.Now(), "gone"
		lost = append(lost, task)
	}
	id, server := w.id, w.server
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	slices.Sort(lost)
	w.rec.log("crash", "worker %s with %d tasks: %s", id, len(lost), shorten(lost))
	server.Close()
	go func() {
		time.Sleep(pause)
		for range 100 {
			listener, err := net.Listen("tcp", w.address)
			if err == nil {
				w.start(listener)
				w.rec.log("worker", "%s is up in place of %s", w.currentID(), id)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
		w.rec.log("worker", "%s: its address can't be used again", w.name)
	}()
}

// leave announces for a time that the worker is draining, and then ends it for good after its last
// notice, as a planned end does.
func (w *worker) leave(drainFor time.Duration) {
	w.mu.Lock()
	w.draining, w.leavesAt = true, time.Now().Add(drainFor)
	id := w.id
	w.mu.Unlock()
	w.rec.log("worker", "%s is draining", id)
	time.Sleep(drainFor)
	req, err := http.NewRequest(http.MethodDelete, "http://"+w.agent+"/instances/"+id, nil)
	if err == nil {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}
	w.close()
	w.rec.log("worker", "%s has left", id)
}

func (w *worker) close() {
	w.mu.Lock()
	w.up = false
	for _, r := range w.running {
		r.timer.Stop()
	}
	server := w.server
	w.mu.Unlock()
	server.Close()
}

// clock returns the worker's steady clock, which begins at one minute.
func (w *worker) clock() time.Duration { return time.Since(w.born) + time.Minute }

// bornMs returns the start of the incarnation in Unix milliseconds, nil if it isn't reported.
func (w *worker) bornMs() *int64 {
	if !w.withBorn {
		return nil
	}
	ms := w.born.UnixMilli()
	return &ms
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Ticket   string `json:"ticket"`
	UntilMs  int64  `json:"until_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen int    `json:"last_seen"`
	WaitMs   int64  `json:"wait_ms"`
}

type reply struct {
	ClockMs int64   `json:"clock_ms"`
	Born    *int64  `json:"born,omitempty"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"ended,omitempty"`
}

// call returns a handler that checks whom a call is for, and its fencing token.
func (w *worker) call(handle func(context.Context, order) (int, reply)) http.HandlerFunc {
	return func(rw http.ResponseWriter, req *http.Request) {
		var o order
		if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
			writeReply(rw, http.StatusBadRequest, reply{})
			return
		}
		w.mu.Lock()
		if w.id != req.Header.Get("Expect-Instance") {
			w.mu.Unlock()
			writeReply(rw, http.StatusMisdirectedRequest, reply{})
			return
		}
		if o.Token < w.token {
			clock := w.clock().Milliseconds()
			w.mu.Unlock()
			writeReply(rw, http.StatusConflict, reply{ClockMs: clock, Reason: "fence"})
			return
		}
		w.token = o.Token
		w.extend(o.UntilMs)
		w.mu.Unlock()
		status, answer := handle(req.Context(), o)
		writeReply(rw, status, answer)
	}
}

func writeReply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller may have gone
}

// extend extends the lease, to maxHold from now at most. The mutex is held.
func (w *worker) extend(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, w.clock()+w.maxHold)
	if until <= w.leaseEnd {
		return
	}
	w.leaseEnd = until
	life := w.lives
	time.AfterFunc(until-w.clock()+time.Millisecond, func() { w.lapse(life) })
}

// lapse ends everything that runs once the lease has expired.
func (w *worker) lapse(life int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.lives != life || w.clock() < w.leaseEnd || w.lapsedAt == w.leaseEnd {
		return
	}
	w.lapsedAt = w.leaseEnd
	w.rec.log("lapse", "the lease of worker %s has expired; %d tasks run, %d ends are not taken note of", w.id, len(w.running), len(w.ended))
	for _, r := range w.ended {
		r.lapsed = true
	}
	for _, r := range w.running {
		w.end(r, "lapsed")
	}
}

// end ends a run and lists its end. The mutex is held.
func (w *worker) end(r *run, how string) {
	r.timer.Stop()
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	r.endedAt, r.how, r.endNo = time.Now(), how, w.lastEnd
	w.ended = append(w.ended, r)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) runStart(_ context.Context, o order) (int, reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := reply{ClockMs: w.clock().Milliseconds()}
	r := w.running[o.Task]
	switch {
	case r != nil && r.number == o.Run:
		return http.StatusOK, answer
	case o.Run <= w.highest[o.Task] || r != nil && o.Run <= r.number:
		answer.Reason = "old"
		return http.StatusConflict, answer
	case time.Duration(o.UntilMs)*time.Millisecond <= w.clock():
		answer.Reason = "late"
		return http.StatusConflict, answer
	}
	ms, err := strconv.Atoi(strings.TrimPrefix(o.Spec, "ms="))
	if err != nil {
		ms = int(time.Hour.Milliseconds()) // it lasts
	}
	started := &run{task: o.Task, number: o.Run, worker: w.id, startedAt: time.Now(), length: time.Duration(ms) * time.Millisecond}
	life := w.lives
	started.timer = time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.up && w.lives == life && w.running[started.task] == started {
			w.end(started, "done")
		}
	})
	w.running[o.Task] = started
	w.runs = append(w.runs, started)
	return http.StatusOK, answer
}

func (w *worker) runStop(_ context.Context, o order) (int, reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.number == o.Run {
		w.end(r, "stopped")
	}
	return http.StatusOK, reply{ClockMs: w.clock().Milliseconds()}
}

func (w *worker) pace(context.Context, order) (int, reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return http.StatusOK, reply{ClockMs: w.clock().Milliseconds()}
}

// hold forgets ends up to last_seen, waits for an end if there is none, and returns both lists.
func (w *worker) hold(ctx context.Context, o order) (int, reply) {
	w.mu.Lock()
	for len(w.ended) > 0 && w.ended[0].endNo <= o.LastSeen {
		w.ended[0].notedAt = time.Now()
		w.ended = w.ended[1:]
	}
	wait, changed := len(w.ended) == 0 && o.WaitMs > 0, w.changed
	w.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-ctx.Done():
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := reply{ClockMs: w.clock().Milliseconds(), Born: w.bornMs(), Running: [][]any{}, Ended: [][]any{}}
	for _, r := range w.running {
		answer.Running = append(answer.Running, []any{r.task, r.number, "", r.percent(), 0})
	}
	for _, r := range w.ended[:min(len(w.ended), maxListedEnds)] {
		answer.Ended = append(answer.Ended, []any{r.endNo, r.task, r.number, r.how, ""})
	}
	return http.StatusOK, answer
}

// heartbeatLoop sends a heartbeat every heartbeatInterval, and one as soon as an incarnation is up.
func (w *worker) heartbeatLoop() {
	client := &http.Client{Timeout: time.Second}
	lastLife, lastDraining, next := 0, false, time.Now()
	for {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		up, life := w.up, w.lives
		if !up || life == lastLife && w.draining == lastDraining && time.Now().Before(next) {
			w.mu.Unlock()
			continue
		}
		w.seq++
		report := map[string]any{
			"service": service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.memMB, "gpu": w.gpu},
			"labels": []string{"a", w.rack}, "clock_ms": w.clock().Milliseconds(), "seq": w.seq,
		}
		if born := w.bornMs(); born != nil {
			report["born"] = *born
		}
		draining := w.draining
		if draining {
			report["state"], report["remaining_ms"] = "draining", max(0, time.Until(w.leavesAt).Milliseconds())
		}
		body, _ := json.Marshal(report) // plain values
		url := "http://" + w.agent + "/instances/" + w.id
		w.mu.Unlock()
		req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(string(body)))
		if err != nil {
			return
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		acked := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		lastLife, lastDraining, next = life, draining, time.Now().Add(heartbeatInterval)
		if !acked {
			next = time.Now().Add(200 * time.Millisecond)
		}
	}
}

// counts returns how many tasks run and how many ends are not taken note of.
func (w *worker) counts() (running, unnoted int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running), len(w.ended)
}

// history returns a copy of all runs.
func (w *worker) history() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]run, len(w.runs))
	for i, r := range w.runs {
		out[i] = *r
		out[i].timer = nil
	}
	return out
}

// shorten joins at most five names.
func shorten(names []string) string {
	if len(names) <= 5 {
		return strings.Join(names, " ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:5], " "), len(names)-5)
}
