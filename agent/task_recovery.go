package agent

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/target"
)

// recoverTasks asks the target which tasks it runs, and retries until it answers. Until
// then the member refuses reservations, since a task that a previous incarnation of the
// agent started may use any accelerator.
//
// The call also fences previous incarnations: a start that one of them sent and that is
// not in the list is refused by the target when it arrives.
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
		g.log.WithFields(logrus.Fields{"running": running, "ended": len(tasks) - running}).Info("recovered tasks from the target")
	}
	if !g.call(context.Background(), func() { g.handleEvent(gang.TasksRecovered{Tasks: tasks}) }) {
		return // the agent is stopping
	}
	close(g.tasksRecovered)
	for _, task := range tasks {
		if task.State != gang.StateEnded {
			g.tomb.Go(func() error { return g.watchTask(task.ID) })
		}
	}
}
