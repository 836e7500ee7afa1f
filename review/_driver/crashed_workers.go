package main

import (
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/platform/standin"
)

func init() { cases["crashed-workers"] = crashedWorkers }

const (
	// crashes is how many workers lose power while one of the two tasks is at work on them.
	crashes = 3
	// crashAfter is how long the task has been at work by then.
	crashAfter = 2 * time.Second
	// workerDownFor is how long a worker stays down.
	workerDownFor = 2 * time.Second
	// watchFor is how long the job is watched after the last crash.
	watchFor = 10 * time.Second
)

// crashedWorkers takes away, one after the other, the workers that one of two sound tasks that last
// is at work on.
func crashedWorkers(rec *recorder, binary string, trouble bool) (verdict, error) {
	store := standin.NewStore()
	queues := []standin.Queue{{Name: "desk", Host: queueHost, Prefix: "/desk/", Priority: 1, MaxAttempts: 4}}
	if err := store.Configure(1, service, queues, apiKey); err != nil {
		return nil, err
	}
	f, err := newFleet(rec, binary, store, 3, 5, utecn)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	rec.log("fleet", "3 gateways, 5 node agents with a worker each; the planner is front-%d", f.planner())
	const id = "7d21e09ab34c56f1"
	tasks := []string{id + ".0.0.0", id + ".0.0.1"}
	body := fmt.Sprintf(`{"spec":"lasts","steps":[{"count":%d,"cpu":8000,"mem_mb":4096,"gpu":1,"est_runtime_ms":60000,"long_running":true}]}`, len(tasks))
	if !f.submit(id, body) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	if f.awaitRunning(len(tasks), 5*time.Second); f.tasksRunning() != len(tasks) {
		return nil, fmt.Errorf("the tasks were not started")
	}
	for n := 0; trouble && n < crashes; n++ {
		w, ok := f.awaitAtWork(tasks[0], crashAfter, 10*time.Second)
		if !ok {
			break
		}
		w.crash(workerDownFor)
	}
	state := ""
	for end := time.Now().Add(watchFor); time.Now().Before(end) && state != "failed"; time.Sleep(500 * time.Millisecond) {
		state = f.state(id)
	}
	time.Sleep(2 * time.Second) // for the ends of the job's runs
	rec.log("state", "job %s is shown as %q; %d tasks run", id, state, f.tasksRunning())
	failed := 0
	for _, task := range tasks {
		for _, r := range f.history()[task] {
			rec.log("run", "%s run %d on %s from %s to %s: %s", r.task, r.number, r.worker, rec.at(r.startedAt), rec.at(r.endedAt), r.how)
			if r.how == "failed" {
				failed++
			}
		}
	}
	if state != "failed" && state != "cancelled" {
		return nil, nil
	}
	return verdict{fmt.Sprintf("job %s, whose tasks last and which nobody cancelled, is shown as %q; %d runs ended failed; %d tasks run", id, state, failed, f.tasksRunning())}, nil
}

// awaitAtWork waits until a task has been at work on a worker for a time, and returns the worker.
func (f *fleet) awaitAtWork(task string, since, limit time.Duration) (*worker, bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, w := range f.workers {
			if w.atWork(task, since) {
				return w, true
			}
		}
	}
	return nil, false
}

// atWork reports whether a task has been running here for a time.
func (w *worker) atWork(task string, since time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[task]
	return w.up && r != nil && time.Since(r.startedAt) >= since
}
