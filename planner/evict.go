package planner

import (
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// evict stops a gang so that another job may start, once the store answers.
//
// The failure this guards against: the store is out, a running gang is stopped for
// a job that waits, and neither can start, because a start has to be on record.
// Its work is lost and its accelerators stand idle for as long as the outage
// lasts. A read just before shows that the start can follow.
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

// retryEvict asks the store again, unless the gang has ended meanwhile.
func (p *Planner) retryEvict(a scheduler.StopGang) {
	if j := p.jobs[string(a.Job)]; j != nil && j.coord != nil && j.attempt == a.Attempt {
		p.evict(a)
	}
}
