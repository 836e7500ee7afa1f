package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/eelgrasshub/eelgrasshub/platform/standin"
)

func init() { cases["stray-heartbeat"] = strayHeartbeat }

const (
	strayTasks  = 12
	strayTaskMs = 8000
)

// strayHeartbeat sends one heartbeat of another writer, which lacks the start of the worker, to the
// agent of a worker that is at work.
func strayHeartbeat(rec *recorder, binary string, trouble bool) (verdict, error) {
	store := standin.NewStore()
	queues := []standin.Queue{{Name: "desk", Host: queueHost, Prefix: "/desk/", Priority: 1, MaxAttempts: 4}}
	if err := store.Configure(1, service, queues, apiKey); err != nil {
		return nil, err
	}
	f, err := newFleet(rec, binary, store, 3, 3, brannock)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	rec.log("fleet", "3 gateways, 3 node agents with a worker each; the planner is front-%d", f.planner())
	const id = "5c0e7a21d94b36f8"
	body := fmt.Sprintf(`{"spec":"ms=%d","steps":[{"count":%d,"cpu":16000,"mem_mb":4096,"est_runtime_ms":%d}]}`, strayTaskMs, strayTasks, strayTaskMs)
	if !f.submit(id, body) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	if f.awaitRunning(strayTasks, 5*time.Second); f.tasksRunning() != strayTasks {
		return nil, fmt.Errorf("the tasks were not started")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := f.sendStray(f.workers[0]); err != nil {
			return nil, err
		}
	}
	states := f.awaitEnd([]string{id}, 30*time.Second)
	rec.log("state", "jobs by state: %v", states)
	time.Sleep(2 * time.Second)
	return f.twice(), nil
}

// sendStray sends a heartbeat under the worker's ID that lacks born, as software does that doesn't
// know that field.
func (f *fleet) sendStray(w *worker) error {
	w.mu.Lock()
	id, seq, running := w.id, w.seq, len(w.running)
	w.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": service, "address": w.address, "zone": w.zone, "version": "v0", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.memMB, "gpu": w.gpu}, "labels": []string{"a", w.rack}, "clock_ms": 1000, "seq": seq + 1,
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+w.agent+"/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	f.rec.log("stray", "heartbeat without born for %s, on which %d tasks run: %d %s", id, running, resp.StatusCode, body)
	return nil
}
