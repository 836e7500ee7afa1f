package main

import (
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/platform/standin"
)

func init() { cases["killed-agent"] = killedAgent }

const (
	killedAgentTaskMs = 2000
	// agentDownFor is how long a killed agent is down: a process that ends is started again after a
	// short delay.
	agentDownFor = 500 * time.Millisecond
)

// killedAgent kills the agent beside one of three workers just before a job comes that needs all of
// them.
func killedAgent(rec *recorder, binary string, trouble bool) (verdict, error) {
	store := standin.NewStore()
	queues := []standin.Queue{{Name: "desk", Host: queueHost, Prefix: "/desk/", Priority: 1, MaxAttempts: 4}}
	if err := store.Configure(1, service, queues, apiKey); err != nil {
		return nil, err
	}
	f, err := newFleet(rec, binary, store, 3, 3, lochspeir)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	rec.log("fleet", "3 gateways, 3 node agents with a worker each; the planner is front-%d", f.planner())
	time.Sleep(3 * time.Second)
	if trouble {
		agent := f.agents[0]
		agent.kill()
		rec.log("kill", "%s, beside %s", agent.name, f.workers[0].currentID())
		time.AfterFunc(agentDownFor, func() {
			if err := agent.start(); err != nil {
				rec.log("kill", "%s can't be started: %v", agent.name, err)
				return
			}
			rec.log("kill", "%s is started again", agent.name)
		})
	}
	const id = "0b5e9d1c73a8f246"
	body := fmt.Sprintf(`{"spec":"ms=%d","steps":[{"count":3,"cpu":70000,"mem_mb":4096,"gpu":1,"est_runtime_ms":%d}]}`, killedAgentTaskMs, killedAgentTaskMs)
	if !f.submit(id, body) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	submitted := time.Now()
	time.Sleep(finish)
	idleFrom := time.Now()
	for time.Since(idleFrom) < idleLimit && f.tasksRunning() == 0 && f.state(id) != "completed" {
		time.Sleep(50 * time.Millisecond)
	}
	idle, state := time.Since(idleFrom), f.state(id)
	rec.log("state", "job %s is shown as %q %.1f s after its acceptance; %d tasks run", id, state, time.Since(submitted).Seconds(), f.tasksRunning())
	f.awaitEnd([]string{id}, 30*time.Second)
	rec.log("state", "it is shown as %q %.1f s after its acceptance", f.state(id), time.Since(submitted).Seconds())
	for _, task := range []string{id + ".0.0.0", id + ".0.0.1", id + ".0.0.2"} {
		for _, r := range f.history()[task] {
			rec.log("run", "%s run %d on %s from %s to %s: %s", r.task, r.number, r.worker, rec.at(r.startedAt), rec.at(r.endedAt), r.how)
		}
	}
	if idle < idleLimit {
		return nil, nil
	}
	return verdict{fmt.Sprintf("job %s has had nothing running from %v to %v after the last submission, though all three workers are idle and each has room for its task", id, finish, finish+idleLimit)}, nil
}
