package agent

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/target"
)

// recoverTasks asks the target what it runs. Until then an accelerator that looks
// free may be in use by a task of the agent's earlier life, so the member
// refuses everything.
//
// The question also fences the earlier life. A start that it sent may still be on its
// way when the agent dies: it would run a part of a gang that was given up meanwhile,
// on accelerators that look free, and no agent would know of it. Either the task is in
// the list, or the target refuses it.
func (g *gangRunner) recoverTasks() error {
	ctx := g.tomb.Context(context.Background())
	for {
		tasks, err := g.targetClient.ListTasks(ctx, g.incarnation)
		if err == nil {
			g.addRecoveredTasks(tasks)
			return nil
		}
		select {
		case <-time.After(targetRetryInterval):
		case <-g.tomb.Dying():
			return nil
		}
	}
}

func (g *gangRunner) addRecoveredTasks(statuses []target.TaskStatus) {
	var tasks []gang.Task
	running := 0
	for _, status := range statuses {
		if status.State.Final() && time.Since(status.EndedAt) > endedTaskRetention {
			continue
		}
		tasks = append(tasks, recoveredTask(status, clock.Now()))
		if !status.State.Final() {
			running++
		}
	}
	if len(tasks) > 0 {
		g.log.WithFields(logrus.Fields{"running": running, "ended": len(tasks) - running}).Info("adopted the target's tasks")
	}
	if !g.call(context.Background(), func() { g.handleEvent(gang.TasksRecovered{Tasks: tasks}) }) {
		return // the agent stops
	}
	close(g.tasksRecovered)
	for _, task := range tasks {
		if task.State != gang.StateEnded {
			g.tomb.Go(func() error { return g.watchTask(task.ID) })
		}
	}
}
