package trial

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	store "github.com/eelgrasshub/eelgrasshub/store/standin"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

// Fault is a failure, or the end of one, at a point in time of a run.
type Fault struct {
	// At is a fraction of the run's duration, from 0 to 1.
	At     float64
	Name   string
	Inject func(ctx context.Context, c *Cluster) error
}

// stopTimeout bounds the graceful stop of an agent.
const stopTimeout = 20 * time.Second

// FaultSchedule returns the faults of a run: each kind of failure once, some of them while
// another one lasts.
func FaultSchedule(document []byte) []Fault {
	changedDocument := append(slices.Clone(document), "\n# changed during the run\n"...)
	return []Fault{
		{0.10, "store replies lost", setStoreFaults(store.Faults{LoseReplies: 5})},
		{0.15, "document changed", func(ctx context.Context, c *Cluster) error {
			_, err := c.PutDocument(ctx, changedDocument, 1)
			return err
		}},
		{0.20, "agent killed", func(_ context.Context, c *Cluster) error {
			c.Workers[1].KillAgent()
			return nil
		}},
		{0.25, "connections of an entry blackholed", func(_ context.Context, c *Cluster) error {
			c.Entries[0].DropAllFlows()
			return nil
		}},
		{0.30, "agent started again", func(_ context.Context, c *Cluster) error { return c.Workers[1].StartAgent() }},
		{0.35, "store unavailable", setStoreFaults(store.Faults{Down: store.DownRefuse})},
		{0.45, "target fails all work", setTargetFaults(2, standin.Faults{FailQuick: true, FailTasks: true})},
		{0.55, "store available again, replies lost", setStoreFaults(store.Faults{LoseReplies: 3})},
		{0.60, "target healthy again", setTargetFaults(2, standin.Faults{})},
		{0.65, "entry killed", func(_ context.Context, c *Cluster) error {
			n := c.PlannerEntry()
			if n == nil {
				n = c.Entries[0]
			}
			n.Kill()
			return nil
		}},
		{0.75, "agent stopped gracefully", stopAgentInBackground(3)},
		{0.85, "entry started again", func(_ context.Context, c *Cluster) error {
			for _, n := range c.Entries {
				if err := n.Start(); err != nil {
					return err
				}
			}
			return nil
		}},
		{0.90, "stopped agent started again", func(_ context.Context, c *Cluster) error { return c.Workers[3].StartAgent() }},
	}
}

func setStoreFaults(f store.Faults) func(context.Context, *Cluster) error {
	return func(_ context.Context, c *Cluster) error {
		c.Store.SetFaults(f)
		return nil
	}
}

func setTargetFaults(i int, f standin.Faults) func(context.Context, *Cluster) error {
	return func(_ context.Context, c *Cluster) error {
		c.Workers[i].Target.SetFaults(f)
		return nil
	}
}

// stopAgentInBackground returns a function that stops an agent gracefully without waiting for it.
func stopAgentInBackground(i int) func(context.Context, *Cluster) error {
	return func(ctx context.Context, c *Cluster) error {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, stopTimeout)
			defer cancel()
			_ = c.Workers[i].StopAgent(ctx) // work that was cut off shows in the audit
		}()
		return nil
	}
}

// InjectFaults injects the faults over the duration of a run. It returns the first error, or
// ctx's error.
func (c *Cluster) InjectFaults(ctx context.Context, faults []Fault, duration time.Duration, log *logrus.Entry) error {
	startedAt := time.Now()
	for _, f := range faults {
		at := startedAt.Add(time.Duration(f.At * float64(duration)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(at)):
		}
		log.WithField("at", time.Since(startedAt).Round(time.Millisecond)).Info(f.Name)
		if err := f.Inject(ctx, c); err != nil {
			return err
		}
	}
	return nil
}
