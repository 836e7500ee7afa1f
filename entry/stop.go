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
	e.duties.resign(ctx)
	pause(ctx, e.cfg.DrainDelay.Duration)
	err := e.server.Shutdown(ctx)
	if drainErr := e.ep.Drain(ctx); err == nil {
		err = drainErr
	}
	e.Close()
	return err
}

// Close ends the entry at once.
func (e *Entry) Close() {
	e.t.Kill(nil)
	_ = e.server.Close()
	_ = e.watcher.Stop()
	e.abandonDuties()
	e.pool.Close()
	_ = e.ep.Close()
	_ = e.t.Wait()
	e.closeSession()
	e.swaps.Close()
	e.client.Close()
	e.work.Close()
	e.log.Info("entry stopped")
}

// abandonDuties stops the planners and lets the leases lapse, as a death would;
// after Stop there are none left.
func (e *Entry) abandonDuties() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	e.duties.resign(ctx)
}
