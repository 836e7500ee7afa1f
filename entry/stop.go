package entry

import (
	"context"
)

// Stop stops the entry gracefully: it reports not ready, hands its leaderships over,
// finishes requests in progress and then closes all connections. When ctx ends first, it
// closes the remaining connections at once and returns ctx's error.
func (e *Entry) Stop(ctx context.Context) error {
	e.draining.Store(true)
	e.log.Info("draining")
	e.elections.resignAll(ctx)
	sleep(ctx, e.cfg.DrainDelay.Duration)
	err := e.server.Shutdown(ctx)
	if drainErr := e.endpoint.Drain(ctx); err == nil {
		err = drainErr
	}
	e.Close()
	return err
}

// Close stops the entry at once, without handing its leaderships over.
func (e *Entry) Close() {
	e.tomb.Kill(nil)
	_ = e.server.Close()
	_ = e.watcher.Stop()
	e.abandonLeaderships()
	e.pool.Close()
	_ = e.endpoint.Close()
	_ = e.tomb.Wait()
	e.closeSession()
	e.batcher.Close()
	e.coordinationClient.Close()
	e.workClient.Close()
	e.log.Info("entry stopped")
}

// abandonLeaderships stops the planners and leaves the lease to expire, as if the process
// had died. After Stop it has no effect.
func (e *Entry) abandonLeaderships() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	e.elections.resignAll(ctx)
}
