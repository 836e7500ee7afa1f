package gateway

import (
	"context"

	"github.com/eelgrasshub/eelgrasshub/engine"
)

// advise calls the advice service and passes its response to the engine.
func (t *term) advise(request engine.AdviceRequest) {
	response := engine.AdviceResponse{Request: request, Failed: true}
	if t.g.cfg.Advisor != nil {
		ctx, cancel := context.WithTimeout(t.tomb.Context(context.Background()), request.Timeout)
		defer cancel()
		t.g.counters.AdviceRequests.Add(1)
		tickets, valid, err := t.g.cfg.Advisor.Advise(ctx, request)
		if err != nil {
			t.g.counters.AdviceFailures.Add(1)
			t.log.WithError(err).WithField("job", request.Job).Warn("advice request failed")
		} else {
			response = engine.AdviceResponse{Request: request, Tickets: tickets, Lifetime: valid}
		}
	}
	t.postEvent(response)
}
