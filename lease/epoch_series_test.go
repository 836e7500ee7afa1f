package lease_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

// Guards against a leader that takes the candidates before it for ones of its version though one of an earlier
// version, which does not state the series, has led in between.
func TestEpochSeriesBeginsAfterEarlierVersion(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t, standin.Options{})
	ctx, key := context.Background(), lease.EpochKey(electionName)
	client := store.NewClient(store.Options{Endpoints: []string{env.url}, CallTimeout: time.Second, WatchIdleTimeout: time.Second})
	defer client.Close()
	_, err := client.Commit(ctx, []store.Swap{{Key: key, Value: []byte(`{"instance":"earlier","token":"t","epoch":7}`)}})
	c.Assert(err, qt.IsNil)
	for i := range 3 {
		candidate, gained := env.startCandidate(t, time.Second)
		held := <-gained
		kv, _, err := client.Get(ctx, key)
		c.Assert(err, qt.IsNil)
		epoch, since, err := lease.ParseEpochSeries(kv.Value)
		c.Assert(err, qt.IsNil)
		c.Check(epoch, qt.Equals, held.Epoch)
		c.Check(since, qt.Equals, uint64(8), qt.Commentf(fmt.Sprint("leader ", i)))
		c.Assert(candidate.Resign(ctx), qt.IsNil)
	}
}
