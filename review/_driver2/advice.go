package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// How long the advice service takes, as in the queues' configuration, and its tickets are valid.
const (
	adviceDecision = 500 * time.Millisecond
	adviceInterval = 50 * time.Millisecond
	ticketLifetime = 3 * time.Second
)

// adviceService allows every worker to run every step. It handles one call at a time, since all calls
// come from the planner's machine.
type adviceService struct {
	rec    *record
	server *http.Server

	calls sync.Mutex // held by the call that is handled

	mu      sync.Mutex
	waiting int
	tickets map[string]time.Time // until when a ticket is valid
}

func newAdviceService(rec *record, addr string) (*adviceService, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	a := &adviceService{rec: rec, tickets: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", a.advise)
	a.server = &http.Server{Handler: mux, ErrorLog: quietLog}
	go func() { _ = a.server.Serve(listener) }() // it returns when the server is closed
	return a, nil
}

// maxWaitingCalls is how many calls may wait.
const maxWaitingCalls = 32

func (a *adviceService) advise(rw http.ResponseWriter, req *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if !a.enter() {
		rw.WriteHeader(http.StatusTooManyRequests)
		return
	}
	defer a.leave()
	a.calls.Lock()
	defer a.calls.Unlock()
	time.Sleep(adviceDecision + time.Duration(len(body.Workers))*adviceInterval)
	allowed := [][2]string{}
	for _, w := range body.Workers {
		allowed = append(allowed, [2]string{w, a.issue(body.Step, w)})
	}
	a.rec.add("advice: step %s, %d workers, all allowed", body.Step, len(body.Workers))
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"allowed": allowed, "valid_ms": ticketLifetime.Milliseconds()}) // the caller may have left
}

func (a *adviceService) enter() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting == maxWaitingCalls {
		return false
	}
	a.waiting++
	return true
}

func (a *adviceService) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
}

// issue returns a ticket for a step on a worker.
func (a *adviceService) issue(step, worker string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	ticket := fmt.Sprintf("%s/%s/%d", step, worker, len(a.tickets))
	a.tickets[ticket] = time.Now().Add(ticketLifetime)
	return ticket
}

// valid reports whether a ticket allows the start of a task on a worker now.
func (a *adviceService) valid(ticket, task, worker string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	step := task[:strings.LastIndex(task, ".")]
	return strings.HasPrefix(ticket, step+"/"+worker+"/") && time.Now().Before(a.tickets[ticket])
}

func (a *adviceService) close() { _ = a.server.Close() }
