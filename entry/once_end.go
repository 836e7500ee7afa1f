package entry

import (
	"context"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/attempts"
	"github.com/eelgrasshub/eelgrasshub/routing"
)

// outcome tells the router how the own attempt went. Where another delivery's
// answer was waited for, nothing was learnt about the target picked.
func (v *delivery) outcome(ctx context.Context) routing.Outcome {
	took := v.d.now().Sub(v.began)
	if !v.sent || (v.reply == nil && v.lastErr == nil) {
		return routing.Outcome{Kind: routing.Abandoned, Latency: took}
	}
	return outcomeOf(ctx, v.reply, v.lastErr, took)
}

// problem is what the caller hears of a delivery that is not done.
func (v *delivery) problem(end attempts.Finished) *api.Problem {
	if end.Outcome == attempts.NotRun {
		return v.notRun(end)
	}
	p := unknownProblem(end)
	p.RetryAfter = end.RetryAfter
	if v.gaveUp && v.call.key != "" {
		p.RetryAfter = comeBack // the agent may be reached again, and the claim names it
	}
	return p
}

func (v *delivery) notRun(end attempts.Finished) *api.Problem {
	switch end.Reason {
	case attempts.ReasonStoreUnavailable:
		return api.Busy(api.ReasonStoreDown, "the platform's store could not be asked whether the key was used before", after(end.RetryAfter))
	case attempts.ReasonDeadline:
		return api.NewProblem(api.ReasonDeadline, "the deadline passed before the start")
	case attempts.ReasonKeyReused:
		return api.NewProblem(api.ReasonKeyReused, "the key belongs to a request with another content")
	}
	if v.reply == nil && v.lastErr == nil {
		return api.Busy(api.ReasonRefused, "the attempt was proved not to have run", after(end.RetryAfter))
	}
	return attemptProblem(v.reply, v.lastErr, false)
}

func unknownProblem(end attempts.Finished) *api.Problem {
	switch end.Reason {
	case attempts.ReasonDeadline:
		return api.NewProblem(api.ReasonDeadlineRunning, "the deadline passed after the start")
	case attempts.ReasonStoreUnavailable:
		return api.NewProblem(api.ReasonKeyInDoubt, "the platform's store can't say whether the key was used before")
	case attempts.ReasonKeyReused:
		return api.NewProblem(api.ReasonKeyReused, "the key belongs to a request with another content")
	default:
		return api.NewProblem(api.ReasonOutcomeLost, "it may have run, and its answer is lost")
	}
}
