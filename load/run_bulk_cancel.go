package load

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/api"
)

// cancelJobs cancels a share of the open jobs in batches. Each batch is tried at all entries
// until one answers; if none does, its jobs run on.
func (r *runner) cancelJobs(ctx context.Context, i int) {
	cancellation := r.plan.BulkCancellations[i]
	if !sleepUntil(ctx, r.startedAt.Add(time.Duration(cancellation.At))) {
		return
	}
	rng := rand.New(rand.NewPCG(r.plan.Seed, rngStreamCancel+uint64(i)))
	ids := r.pickJobsToCancel(rng, cancellation)
	for chunk := range slices.Chunk(ids, api.MaxCancelIDs) {
		for n := range r.clients {
			client, _ := r.entryAt(n)
			if _, err := client.CancelJobs(ctx, r.plan.Service, chunk); err == nil {
				break
			}
		}
	}
}

func (r *runner) pickJobsToCancel(rng *rand.Rand, cancellation BulkCancellation) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []*JobResult
	for j := range r.openJobs {
		if cancellation.Account == "" || cancellation.Account == j.Account {
			candidates = append(candidates, j)
		}
	}
	slices.SortFunc(candidates, func(a, b *JobResult) int { return cmp.Compare(a.Tag, b.Tag) })
	var ids []string
	for _, j := range candidates {
		if rng.Float64() < cancellation.Share {
			j.CancelRequested = true
			ids = append(ids, j.ID)
		}
	}
	return ids
}
