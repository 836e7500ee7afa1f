package entry

import (
	"context"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/attempts"
	"github.com/eelgrasshub/eelgrasshub/routing"
)

// routingOutcome returns the outcome of this delivery's own attempt for the router. It is
// Abandoned if the attempt was not sent or has no result, which says nothing about the
// target.
func (v *delivery) routingOutcome(ctx context.Context) routing.Outcome {
	latency := v.dispatcher.now().Sub(v.startedAt)
	if !v.attemptSent || (v.reply == nil && v.lastErr == nil) {
		return routing.Outcome{Kind: routing.Abandoned, Latency: latency}
	}
	return attemptOutcome(ctx, v.reply, v.lastErr, latency)
}

// problem returns the answer for a delivery that was not completed.
func (v *delivery) problem(finished attempts.Finished) *api.Problem {
	if finished.Outcome == attempts.NotRun {
		return v.notRunProblem(finished)
	}
	p := unknownProblem(finished)
	p.RetryAfter = finished.RetryAfter
	if v.agentTimedOut && v.request.key != "" {
		p.RetryAfter = defaultRetryAfter // the claim names the agent, which may become reachable again
	}
	return p
}

func (v *delivery) notRunProblem(finished attempts.Finished) *api.Problem {
	switch finished.Reason {
	case attempts.ReasonStoreUnavailable:
		return api.NewRetryableProblem(api.ReasonStoreUnavailable, "the platform's store could not be asked whether the key was used before", retryAfterOrDefault(finished.RetryAfter))
	case attempts.ReasonDeadline:
		return api.NewProblem(api.ReasonDeadlineBeforeStart, "the deadline passed before the start")
	case attempts.ReasonKeyReused:
		return api.NewProblem(api.ReasonKeyReused, "the key belongs to a request with another content")
	}
	if v.reply == nil && v.lastErr == nil {
		return api.NewRetryableProblem(api.ReasonRefused, "the attempt was proved not to have run", retryAfterOrDefault(finished.RetryAfter))
	}
	return attemptProblem(v.reply, v.lastErr, false)
}

func unknownProblem(finished attempts.Finished) *api.Problem {
	switch finished.Reason {
	case attempts.ReasonDeadline:
		return api.NewProblem(api.ReasonDeadlineWhileRunning, "the deadline passed after the start")
	case attempts.ReasonStoreUnavailable:
		return api.NewProblem(api.ReasonEarlierAttemptInDoubt, "the platform's store can't say whether the key was used before")
	case attempts.ReasonKeyReused:
		return api.NewProblem(api.ReasonKeyReused, "the key belongs to a request with another content")
	default:
		return api.NewProblem(api.ReasonOutcomeLost, "it may have run, and its answer is lost")
	}
}
