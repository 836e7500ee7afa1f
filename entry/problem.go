package entry

import (
	"errors"
	"time"

	"github.com/eelgrasshub/eelgrasshub/admission"
	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/routing"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// defaultRetryAfter is the retry delay given to callers when no better one is known.
const defaultRetryAfter = time.Second

// pickProblem returns the problem for a request that got no target. If an earlier attempt
// may have run, it must not claim that the request did not run.
func pickProblem(r routing.Refusal, maybeRan bool) *api.Problem {
	if maybeRan {
		// Only a repeatable request can have had an attempt before.
		return api.NewRetryableProblem(api.ReasonOutcomeLost, "an attempt may have run, and no other target took the request", retryAfterOrDefault(r.RetryAfter))
	}
	switch r.Reason {
	case routing.NoTargets:
		return api.NewRetryableProblem(api.ReasonNoTarget, "no target accepts work now", retryAfterOrDefault(r.RetryAfter))
	case routing.DeadlineExceeded:
		return api.NewProblem(api.ReasonDeadlineBeforeStart, "the deadline has passed")
	case routing.AccountOverShare:
		return api.NewRetryableProblem(api.ReasonAccountLimit, "the client account uses its share of the targets already", retryAfterOrDefault(r.RetryAfter))
	default:
		return api.NewRetryableProblem(api.ReasonQueueFull, "all targets are saturated", retryAfterOrDefault(r.RetryAfter))
	}
}

// attemptProblem returns the problem after the last attempt. maybeRan covers all attempts
// of the request.
func attemptProblem(reply *wire.ExecuteReply, err error, maybeRan bool) *api.Problem {
	switch {
	case maybeRan:
		return api.NewProblem(api.ReasonOutcomeLost, "the answer of the target was lost: "+failureText(reply, err))
	case err != nil && errors.Is(err, wire.ErrDraining):
		return api.NewRetryableProblem(api.ReasonRefused, "the target is leaving", defaultRetryAfter)
	case err != nil:
		return api.NewRetryableProblem(api.ReasonNoTarget, "the target could not be reached", defaultRetryAfter)
	default:
		return refusedProblem(reply)
	}
}

func refusedProblem(reply *wire.ExecuteReply) *api.Problem {
	switch reply.Reason {
	case admission.ReasonDeadline.String():
		return api.NewRetryableProblem(api.ReasonDeadlineBeforeStart, "it could not have been answered in time", reply.RetryAfter)
	case admission.ReasonAccountQueueFull.String():
		return api.NewRetryableProblem(api.ReasonAccountLimit, "the client account has too many requests queued", retryAfterOrDefault(reply.RetryAfter))
	case admission.ReasonOverload.String():
		return api.NewRetryableProblem(api.ReasonQueueFull, "the target is overloaded", retryAfterOrDefault(reply.RetryAfter))
	default:
		return api.NewRetryableProblem(api.ReasonRefused, reply.Reason+" "+reply.Detail, retryAfterOrDefault(reply.RetryAfter))
	}
}

func retryAfterOrDefault(d time.Duration) time.Duration {
	if d <= 0 {
		return defaultRetryAfter
	}
	return d
}

func failureText(reply *wire.ExecuteReply, err error) string {
	if err != nil {
		return err.Error()
	}
	return reply.Reason + " " + reply.Detail
}
