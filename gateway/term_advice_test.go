package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/engine"
)

// silentAdvisor never answers.
type silentAdvisor struct{}

func (silentAdvisor) Advise(ctx context.Context, _ engine.AdviceRequest) (map[engine.WorkerID]string, time.Duration, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against a silent advice service that the planner waits for beyond the timeout of its request.
func TestSilentAdviceServiceIsGivenUp(t *testing.T) {
	c := qt.New(t)
	term := &term{g: &Gateway{cfg: Config{Advisor: silentAdvisor{}}}, log: logrus.New(), inbox: make(chan func(time.Duration), 1)}
	term.engine = engine.New(engine.Params{}, 1, 0, 0)
	term.advise(engine.AdviceRequest{Timeout: 10 * time.Millisecond})
	c.Check(term.inbox, qt.HasLen, 1)
	c.Check(term.g.counters.AdviceRequests.Load(), qt.Equals, int64(1))
	c.Check(term.g.counters.AdviceFailures.Load(), qt.Equals, int64(1))
}
