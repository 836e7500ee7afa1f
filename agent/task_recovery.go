package agent

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/target"
)

// adopt asks the target what it runs. Until then an accelerator that looks
// free may be in use by a task of the agent's earlier life, so the member
// refuses everything.
//
// The question also fences the earlier life. A start that it sent may still be on its
// way when the agent dies: it would run a part of a gang that was given up meanwhile,
// on accelerators that look free, and no agent would know of it. Either the task is in
// the list, or the target refuses it.
func (g *gangs) adopt() error {
	ctx := g.t.Context(context.Background())
	for {
		tasks, err := g.target.ListTasks(ctx, g.incarnation)
		if err == nil {
			g.adoptTasks(tasks)
			return nil
		}
		select {
		case <-time.After(adoptRetry):
		case <-g.t.Dying():
			return nil
		}
	}
}

func (g *gangs) adoptTasks(statuses []target.TaskStatus) {
	var tasks []gang.Task
	running := 0
	for _, s := range statuses {
		if s.State.Final() && time.Since(s.EndedAt) > adoptEnded {
			continue
		}
		tasks = append(tasks, adopted(s, clock.Now()))
		if !s.State.Final() {
			running++
		}
	}
	if len(tasks) > 0 {
		g.log.WithFields(logrus.Fields{"running": running, "ended": len(tasks) - running}).Info("adopted the target's tasks")
	}
	if !g.do(context.Background(), func() { g.step(gang.TasksRecovered{Tasks: tasks}) }) {
		return // the agent stops
	}
	close(g.adopted)
	for _, t := range tasks {
		if t.State != gang.StateEnded {
			g.t.Go(func() error { return g.watch(t.ID) })
		}
	}
}
