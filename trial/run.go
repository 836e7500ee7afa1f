package trial

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/load"
)

// RunOptions configures Run.
type RunOptions struct {
	Document []byte
	Plan     load.Plan
	// Faults injects failures during the load.
	Faults bool
	// FaultLog receives a line for each injected fault.
	FaultLog *logrus.Entry
	// ProcessLog receives the log of the processes; discarded by default.
	ProcessLog *logrus.Entry
}

// RunResult holds the observations of a run.
type RunResult struct {
	Result   load.Result
	Samples  load.Samples
	Findings load.Findings
}

const (
	// startTimeout bounds the start of the cluster.
	startTimeout = 30 * time.Second
	// reclaimTimeout bounds the reclaim measurement.
	reclaimTimeout = 90 * time.Second
)

// Run starts a cluster, sends it the load of the plan, measures the reclaim of guarantees and
// audits all requests and jobs.
func Run(ctx context.Context, o RunOptions) (RunResult, error) {
	doc, err := document.Parse("trial", o.Document)
	if err != nil {
		return RunResult{}, err
	}
	c, err := startCluster(ctx, o)
	if err != nil {
		return RunResult{}, err
	}
	defer c.Close()
	var out RunResult
	if err := c.runLoad(ctx, o, &out); err != nil {
		return out, err
	}
	reclaimCtx, cancel := context.WithTimeout(ctx, reclaimTimeout)
	defer cancel()
	samples, reclaimResult, err := c.MeasureReclaim(reclaimCtx, doc)
	if err != nil {
		return out, err
	}
	out.Samples.Reclaims = samples
	audited := out.Result
	audited.Jobs = append(audited.Jobs[:len(audited.Jobs):len(audited.Jobs)], reclaimResult.Jobs...)
	out.Findings = load.Audit(audited, c.Audits())
	return out, nil
}

func startCluster(ctx context.Context, o RunOptions) (*Cluster, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return New(ctx, Options{Document: o.Document, UDPRelays: o.Faults, Log: o.ProcessLog})
}

// runLoad sends the load, with sampling and fault injection in parallel.
func (c *Cluster) runLoad(ctx context.Context, o RunOptions, out *RunResult) error {
	sampleCtx, stop := context.WithCancel(ctx)
	defer stop()
	var group errgroup.Group
	group.Go(func() error {
		out.Samples.Fragmentation = c.SampleFragmentation(sampleCtx)
		return nil
	})
	if o.Faults {
		group.Go(func() error {
			return c.InjectFaults(ctx, FaultSchedule(o.Document), time.Duration(o.Plan.Duration), o.FaultLog)
		})
	}
	result, err := load.Run(ctx, o.Plan, c.URLs())
	stop()
	out.Result = result
	if groupErr := group.Wait(); err == nil {
		err = groupErr
	}
	return err
}
