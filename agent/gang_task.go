package agent

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/target"
)

// startTask starts a task at the target and watches it until it ends.
func (g *gangRunner) startTask(action gang.StartTask) error {
	var spec target.TaskSpec
	if err := cbor.Unmarshal(action.Spec, &spec); err != nil {
		g.taskEnded(action.Task.ID, gang.TaskFailed, false, "task spec: "+err.Error())
		return nil
	}
	spec.Accelerators = action.Task.Accelerators
	spec.LeaseMS = max(1, leaseDuration(action.Task).Milliseconds())
	spec.Epoch = action.Task.ID.Epoch
	spec.Incarnation = g.incarnation
	ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), maxTaskLease)
	defer cancel()
	_, err := g.targetClient.StartTask(ctx, toTargetID(action.Task.ID), spec)
	if err != nil {
		return g.handleStartFailure(action.Task.ID, err)
	}
	g.postEvent(gang.TaskStarted{ID: action.Task.ID})
	return g.watchTask(action.Task.ID)
}

// handleStartFailure stops a task whose start failed or has an unknown outcome, so that it
// does not run unnoticed. The target then also refuses a start that arrives late. A task that
// has ended by itself meanwhile keeps its result.
func (g *gangRunner) handleStartFailure(id gang.ID, err error) error {
	g.log.WithError(err).WithField("job", id.Job).Warn("failed to start task at the target")
	ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), maxTaskLease)
	defer cancel()
	status, stopErr := g.targetClient.StopTask(ctx, toTargetID(id), false)
	switch {
	case stopErr != nil:
		g.taskEnded(id, gang.TaskLost, false, err.Error())
	case status.State == target.TaskDone || status.State == target.TaskFailed:
		g.taskEnded(id, resultOfState(status.State), status.Checkpoint != nil, taskDetail(status))
	case errors.Is(err, target.ErrRefused) || errors.Is(err, target.ErrConflict):
		g.taskEnded(id, gang.TaskFailed, false, err.Error())
	default:
		g.taskEnded(id, gang.StartUnanswered, false, err.Error())
	}
	return nil
}

// watchTask renews a task's lease and reports the task's end to the member.
func (g *gangRunner) watchTask(id gang.ID) error {
	targetTaskID := toTargetID(id)
	leaseExpiresAt := time.Now().Add(maxTaskLease)
	for {
		ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), maxTaskLease)
		status, err := g.renewAndWait(ctx, targetTaskID)
		cancel()
		select {
		case <-g.tomb.Dying():
			return nil
		default:
		}
		switch {
		case err == nil && status.State.Final():
			g.taskEnded(id, resultOfState(status.State), status.Checkpoint != nil, taskDetail(status))
			return nil
		case err == nil:
			leaseExpiresAt = time.Now().Add(maxTaskLease)
		case errors.Is(err, target.ErrUnknownTask), time.Now().After(leaseExpiresAt):
			// Either the target has restarted and lost the task, or the last lease that it
			// received has expired, so that it has stopped the task or is down itself.
			g.taskEnded(id, gang.TaskLost, false, err.Error())
			return nil
		default:
			g.sleep(targetRetryInterval)
		}
	}
}

func (g *gangRunner) renewAndWait(ctx context.Context, id target.TaskID) (target.TaskStatus, error) {
	lease, ok := g.currentLease(ctx, id)
	if !ok {
		return g.targetClient.GetTask(ctx, id, maxTaskLease/renewalsPerLease)
	}
	status, err := g.targetClient.RenewTask(ctx, id, lease)
	if err != nil || status.State.Final() {
		return status, err
	}
	// The wait must be shorter than the lease, or the target would stop a healthy task.
	// The lease may be much shorter than maxTaskLease.
	return g.targetClient.GetTask(ctx, id, lease/renewalsPerLease)
}

// currentLease returns the lease to request at the next renewal, and false if the task may
// no longer be renewed.
func (g *gangRunner) currentLease(ctx context.Context, id target.TaskID) (time.Duration, bool) {
	lease := maxTaskLease
	g.call(ctx, func() {
		for _, t := range g.member.Tasks() {
			if t.ID == toGangID(id) {
				lease = leaseDuration(t)
			}
		}
	})
	return lease, lease > 0
}

func (g *gangRunner) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-g.tomb.Dying():
	}
}

// stopTask asks the target to stop a task. watchTask then reports its end.
func (g *gangRunner) stopTask(action gang.StopTask) error {
	ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), maxTaskLease)
	defer cancel()
	if _, err := g.targetClient.StopTask(ctx, toTargetID(action.ID), action.Checkpoint); err != nil {
		g.log.WithError(err).WithField("job", action.ID.Job).Warn("failed to stop task at the target")
	}
	return nil
}

func (g *gangRunner) taskEnded(id gang.ID, result gang.Result, checkpointed bool, detail string) {
	g.postEvent(gang.TaskEnded{ID: id, Result: result, Checkpointed: checkpointed, Detail: detail})
}

func resultOfState(state target.TaskState) gang.Result {
	switch state {
	case target.TaskDone:
		return gang.Succeeded
	case target.TaskFailed:
		return gang.TaskFailed
	case target.TaskStopped:
		return gang.TaskStopped
	default:
		return gang.TaskLost
	}
}

// taskDetail returns the task's error, the checkpoint from which a stopped task can
// resume, or the task's result.
func taskDetail(status target.TaskStatus) string {
	if status.Error != "" {
		return status.Error
	}
	if status.State == target.TaskStopped && status.Checkpoint != nil {
		if data, err := json.Marshal(status.Checkpoint); err == nil {
			return string(data)
		}
	}
	return string(status.Result)
}
