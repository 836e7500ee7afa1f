package planner

import (
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// evict stops a gang in favor of another job, after a read has shown that the
// store is available. Without the store the other job could not be recorded
// and started, and the accelerators of the evicted gang would stay idle for
// the rest of the outage.
func (p *Planner) evict(a scheduler.StopGang) {
	p.tomb.Go(func() error {
		ctx, cancel := p.context(requestTimeout)
		defer cancel()
		_, err := p.cfg.Jobs.Get(ctx, p.cfg.Service, string(a.Job))
		p.post(func() { p.evictAfterRead(a, err) })
		return nil
	})
}

func (p *Planner) evictAfterRead(a scheduler.StopGang, err error) {
	if err != nil && !eris.Is(err, jobs.ErrNotFound) {
		p.postAfter(storeRetryInterval, func() { p.retryEvict(a) })
		return
	}
	p.cfg.Metrics.Add(metrics.JobsEvicted, 1)
	p.stopNow(a)
}

// retryEvict tries again unless the attempt has ended meanwhile.
func (p *Planner) retryEvict(a scheduler.StopGang) {
	if j := p.jobs[string(a.Job)]; j != nil && j.coord != nil && j.attempt == a.Attempt {
		p.evict(a)
	}
}
