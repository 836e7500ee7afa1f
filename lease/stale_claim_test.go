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

// A process that is killed and restarted at once must remove the holder key of its
// predecessor; otherwise nobody leads until that one's lease expires.
func TestRestartedProcessRemovesStaleClaim(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t, standin.Options{})
	kv := store.NewClient(store.Options{Endpoints: []string{env.url}})
	defer kv.Close()
	ctx := context.Background()
	id, err := kv.Grant(ctx, time.Hour)
	c.Assert(err, qt.IsNil)
	claim := []byte(`{"instance":"a","token":"of an earlier life"}`)
	res, err := kv.Commit(ctx, []store.Swap{{Key: "duty/plan/holder", Value: claim, Lease: id}})
	c.Assert(err, qt.IsNil)
	c.Assert(res[0].Swapped, qt.IsTrue)

	gained := make(chan lease.Leadership, 1)
	candidate := lease.StartCandidate(lease.CandidateOptions{
		Store: kv, Election: "plan", Instance: "a", TTL: 2 * time.Second, RemoveStaleClaim: true,
		OnChange: func(held lease.Leadership, ok bool) {
			if ok {
				gained <- held
			}
		},
	})
	held := <-gained
	c.Check(held.Epoch, qt.Equals, uint64(1))
	c.Check(candidate.Resign(ctx), qt.IsNil)
}
