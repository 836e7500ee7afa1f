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

// run starts a task and follows it to its end.
func (g *gangs) run(a gang.StartTask) error {
	var spec target.TaskSpec
	if err := cbor.Unmarshal(a.Spec, &spec); err != nil {
		g.ended(a.Task.ID, gang.TaskFailed, false, "task spec: "+err.Error())
		return nil
	}
	spec.Accelerators = a.Task.Accelerators
	spec.LeaseMS = max(1, leaseFor(a.Task).Milliseconds())
	spec.Epoch = a.Task.ID.Epoch
	spec.Incarnation = g.incarnation
	ctx, cancel := context.WithTimeout(g.t.Context(context.Background()), taskLease)
	defer cancel()
	_, err := g.target.StartTask(ctx, targetID(a.Task.ID), spec)
	if err != nil {
		return g.startFailed(a.Task.ID, err)
	}
	return g.watch(a.Task.ID)
}

// startFailed makes sure that a start whose outcome is not known does not run
// on unseen: the target marks the task as stopped, and refuses a late start.
func (g *gangs) startFailed(id gang.ID, err error) error {
	g.log.WithError(err).WithField("job", id.Job).Warn("target did not start the task")
	ctx, cancel := context.WithTimeout(g.t.Context(context.Background()), taskLease)
	defer cancel()
	if _, stopErr := g.target.StopTask(ctx, targetID(id), false); stopErr != nil {
		g.ended(id, gang.TaskLost, false, err.Error())
		return nil
	}
	g.ended(id, gang.TaskFailed, false, err.Error())
	return nil
}

// watch renews a task's lease and waits for its end.
func (g *gangs) watch(id gang.ID) error {
	tid := targetID(id)
	lost := time.Now().Add(taskLease)
	for {
		ctx, cancel := context.WithTimeout(g.t.Context(context.Background()), taskLease)
		status, err := g.renewAndWait(ctx, tid)
		cancel()
		select {
		case <-g.t.Dying():
			return nil
		default:
		}
		switch {
		case err == nil && status.State.Final():
			g.ended(id, resultOf(status.State), status.Checkpoint != nil, detailOf(status))
			return nil
		case err == nil:
			lost = time.Now().Add(taskLease)
		case errors.Is(err, target.ErrUnknownTask), time.Now().After(lost):
			// The target had the task and has crashed since: another life of it answers at
			// its address, which runs nothing of the last. Or the lease that it last heard of
			// has lapsed: it has stopped the task, or it is gone itself.
			g.ended(id, gang.TaskLost, false, err.Error())
			return nil
		default:
			g.pause(adoptRetry)
		}
	}
}

func (g *gangs) renewAndWait(ctx context.Context, id target.TaskID) (target.TaskStatus, error) {
	lease, ok := g.leaseOf(ctx, id)
	if !ok {
		return g.target.GetTask(ctx, id, taskLease/renewals)
	}
	status, err := g.target.RenewTask(ctx, id, lease)
	if err != nil || status.State.Final() {
		return status, err
	}
	// A status call that is held for longer than the lease lasts would let the
	// target stop a task that is well: isolation may be much shorter than
	// taskLease.
	return g.target.GetTask(ctx, id, lease/renewals)
}

// leaseOf is the lease to renew; false when there is none left.
func (g *gangs) leaseOf(ctx context.Context, id target.TaskID) (time.Duration, bool) {
	lease := taskLease
	g.do(ctx, func() {
		for _, t := range g.member.Tasks() {
			if t.ID == gangID(id) {
				lease = leaseFor(t)
			}
		}
	})
	return lease, lease > 0
}

func (g *gangs) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-g.t.Dying():
	}
}

// stopTask asks the target to stop; watch then sees the end.
func (g *gangs) stopTask(a gang.StopTask) error {
	ctx, cancel := context.WithTimeout(g.t.Context(context.Background()), taskLease)
	defer cancel()
	if _, err := g.target.StopTask(ctx, targetID(a.ID), a.Checkpoint); err != nil {
		g.log.WithError(err).WithField("job", a.ID.Job).Warn("target did not stop the task")
	}
	return nil
}

func (g *gangs) ended(id gang.ID, r gang.Result, checkpointed bool, detail string) {
	g.event(gang.TaskEnded{ID: id, Result: r, Checkpointed: checkpointed, Detail: detail})
}

func resultOf(s target.TaskState) gang.Result {
	switch s {
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

// detailOf is the task's result, its error, or the checkpoint that a stopped task
// can go on from.
func detailOf(s target.TaskStatus) string {
	if s.Error != "" {
		return s.Error
	}
	if s.State == target.TaskStopped && s.Checkpoint != nil {
		if data, err := json.Marshal(s.Checkpoint); err == nil {
			return string(data)
		}
	}
	return string(s.Result)
}
