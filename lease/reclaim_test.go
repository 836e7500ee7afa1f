package lease_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

// The process that holds a duty is killed and started again at once. Without the claim
// of its earlier life removed, nobody would hold the duty until that life's lease lapses.
func TestRestartedHolderReclaimsItsDuty(t *testing.T) {
	c := qt.New(t)
	b := newBench(t, standin.Options{})
	kv := store.NewClient(store.Options{Endpoints: []string{b.url}})
	defer kv.Close()
	ctx := context.Background()
	id, err := kv.Grant(ctx, time.Hour)
	c.Assert(err, qt.IsNil)
	claim := []byte(`{"instance":"a","token":"of an earlier life"}`)
	res, err := kv.Commit(ctx, []store.Swap{{Key: "duty/plan/holder", Value: claim, Lease: id}})
	c.Assert(err, qt.IsNil)
	c.Assert(res[0].Swapped, qt.IsTrue)

	gained := make(chan lease.Held, 1)
	h := lease.Run(lease.Options{
		Store: kv, Duty: "plan", Instance: "a", TTL: 2 * time.Second, Reclaim: true,
		Changed: func(held lease.Held, ok bool) {
			if ok {
				gained <- held
			}
		},
	})
	held := <-gained
	c.Check(held.Epoch, qt.Equals, uint64(1))
	c.Check(h.Resign(ctx), qt.IsNil)
}
