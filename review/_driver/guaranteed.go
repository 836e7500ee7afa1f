package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/platform/standin"
)

func init() { cases["guaranteed"] = guaranteed }

const (
	guaranteedWorkers = 7
	// guaranteedGPUs of the workers' 56 belong to a tenant for its jobs of priority 0, of which
	// there are none.
	guaranteedGPUs = 35
	lastingTasks   = 2
	// restartLimit is how long after its last run a task that lasts may be without a run while there
	// is capacity for it twice over: 6 s, 4 calm seconds and 3 s.
	restartLimit = 13 * time.Second
	drainFor     = 2500 * time.Millisecond
)

// guaranteed empties the worker that one of two tasks that last is on, and takes it away.
func guaranteed(rec *recorder, binary string, trouble bool) (verdict, error) {
	store := standin.NewStore()
	if err := configureGuaranteed(store); err != nil {
		return nil, err
	}
	f, err := newFleet(rec, binary, store, 3, guaranteedWorkers, peachline)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	rec.log("fleet", "3 gateways, %d node agents with a worker of 8 GPUs each; %d GPUs are guaranteed to a tenant without jobs", guaranteedWorkers, guaranteedGPUs)
	const id = "41d6b0e8f7a2935c"
	body := fmt.Sprintf(`{"spec":"lasts","steps":[{"count":%d,"cpu":16000,"mem_mb":16384,"gpu":8,"est_runtime_ms":60000,"long_running":true}]}`, lastingTasks)
	if !f.submit(id, body) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	if f.awaitRunning(lastingTasks, 5*time.Second); f.tasksRunning() != lastingTasks {
		return nil, fmt.Errorf("the tasks that last were not started")
	}
	time.Sleep(2 * time.Second)
	const task = id + ".0.0.1"
	if w, ok := f.awaitAtWork(task, 0, time.Second); trouble && ok {
		w.leave(drainFor)
	}
	return f.unstarted(id, task), nil
}

// unstarted watches a task that lasts for some time, and tells when it has been without a run for
// longer than restartLimit.
func (f *fleet) unstarted(id, task string) verdict {
	without, longest := time.Duration(0), time.Duration(0)
	const step = 50 * time.Millisecond
	for end := time.Now().Add(restartLimit + 7*time.Second); time.Now().Before(end); time.Sleep(step) {
		if _, runs := f.awaitAtWork(task, 0, time.Millisecond); runs {
			without = 0
			continue
		}
		without += step
		longest = max(longest, without)
	}
	idle := 0
	for _, w := range f.workers {
		if running, _ := w.counts(); running == 0 && w.isUp() {
			idle++
		}
	}
	for _, r := range f.history()[task] {
		f.rec.log("run", "%s run %d on %s from %s to %s: %s", r.task, r.number, r.worker, f.rec.at(r.startedAt), f.rec.at(r.endedAt), r.how)
	}
	f.rec.log("state", "job %s is shown as %q; %d tasks run; %d workers are idle", id, f.state(id), f.tasksRunning(), idle)
	if longest < restartLimit {
		return nil
	}
	return verdict{fmt.Sprintf("task %s, which lasts, has had no run for %v, though %d workers with 8 GPUs each are idle and it needs one", task, longest.Round(100*time.Millisecond), idle)}
}

func (w *worker) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

func configureGuaranteed(store *standin.Store) error {
	text, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "desk", "host": queueHost, "prefix": "/desk/", "service": service, "timeout_ms": 3000,
			"target_latency_ms": 1000, "priority": 1, "max_attempts": 4, "stretch": 3,
		}},
		"services": []map[string]any{{"name": service}},
		"tenants": []map[string]any{
			{"name": "big", "api_keys": []string{"key-2"}, "guaranteed": map[string]any{"gpu": guaranteedGPUs}},
			{"name": "small", "api_keys": []string{apiKey}},
		},
		"limits": map[string]any{"max_body_bytes": 65536},
	})
	if err != nil {
		return err
	}
	store.Put("op/config", text)
	return nil
}
