package trial

import (
	"context"
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/api"
)

// WaitFor calls check repeatedly until it returns nil or ctx is done. The error then wraps the
// last error of check.
func WaitFor(ctx context.Context, check func(context.Context) error) error {
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w; last error: %w", ctx.Err(), err)
		case <-time.After(pollInterval):
		}
	}
}

// checkEntryDocument returns an error if the entry is not ready, or if it or one of the running
// agents that it knows lacks the generation.
func (c *Cluster) checkEntryDocument(s api.Status, generation uint64) error {
	if !s.Ready {
		return fmt.Errorf("%s is not ready", s.ID)
	}
	if got := generationOf(s, c.Service); got < generation {
		return fmt.Errorf("%s has generation %d, not %d", s.ID, got, generation)
	}
	members := make(map[string]api.Member, len(s.Members))
	for _, m := range s.Members {
		members[m.ID] = m
	}
	for _, w := range c.Workers {
		m := members[w.ID]
		if w.AgentRunning() && (m.State != "alive" || m.Generation < generation) {
			return fmt.Errorf("%s sees %s in state %q with generation %d, not %d", s.ID, w.ID, m.State, m.Generation, generation)
		}
	}
	return nil
}

func generationOf(s api.Status, service string) uint64 {
	for _, g := range s.Generations {
		if g.Service == service {
			return g.Generation
		}
	}
	return 0
}
