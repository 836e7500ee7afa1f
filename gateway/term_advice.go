package gateway

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
)

// adviceTimeout bounds one call to the advice service, including its queueing.
const adviceTimeout = 10 * time.Second

// advise calls the advice service and passes its response to the engine.
func (t *term) advise(ask engine.AdviceRequest) {
	response := engine.AdviceResponse{Request: ask, Failed: true}
	if t.g.cfg.Advisor != nil {
		ctx, cancel := context.WithTimeout(t.tomb.Context(context.Background()), adviceTimeout)
		defer cancel()
		tickets, valid, err := t.g.cfg.Advisor.Advise(ctx, ask)
		if err != nil {
			t.log.WithError(err).WithField("job", ask.Job).Warn("no advice")
		} else {
			response = engine.AdviceResponse{Request: ask, Tickets: tickets, Lifetime: valid}
		}
	}
	t.postEvent(response)
}
