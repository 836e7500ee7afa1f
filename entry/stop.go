package entry

import (
	"context"
)

// Stop ends the entry gracefully: readiness drops, duties are handed over,
// requests in progress end, and only then the connections close. What is left
// when ctx ends is cut, and ctx's error returned.
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

// Close ends the entry at once.
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

// abandonLeaderships stops the planners and lets the leases lapse, as a death would;
// after Stop there are none left.
func (e *Entry) abandonLeaderships() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	e.elections.resignAll(ctx)
}
