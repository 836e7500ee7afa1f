package entry

import (
	"errors"
	"time"

	"github.com/eelgrasshub/eelgrasshub/admission"
	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/routing"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// comeBack is what a caller is told where nothing better is known.
const comeBack = time.Second

// pickProblem is the answer where no target was found. An earlier attempt that
// may have run forbids the claim that the request did not.
func pickProblem(r routing.Refusal, maybeRan bool) *api.Problem {
	if maybeRan {
		// Only a request that may run twice has had an attempt before.
		return api.Busy(api.ReasonOutcomeLost, "an attempt may have run, and no other target took the request", after(r.RetryAfter))
	}
	switch r.Reason {
	case routing.NoTargets:
		return api.Busy(api.ReasonNoTarget, "no target accepts work now", after(r.RetryAfter))
	case routing.DeadlineExceeded:
		return api.NewProblem(api.ReasonDeadline, "the deadline has passed")
	case routing.AccountOverShare:
		return api.Busy(api.ReasonAccountLimit, "the client account uses its share of the targets already", after(r.RetryAfter))
	default:
		return api.Busy(api.ReasonQueueFull, "all targets are saturated", after(r.RetryAfter))
	}
}

// attemptProblem is the answer after the last attempt. maybeRan covers all
// attempts.
func attemptProblem(reply *wire.ExecuteReply, err error, maybeRan bool) *api.Problem {
	switch {
	case maybeRan:
		return api.NewProblem(api.ReasonOutcomeLost, "the answer of the target was lost: "+cause(reply, err))
	case err != nil && errors.Is(err, wire.ErrDraining):
		return api.Busy(api.ReasonRefused, "the target is leaving", comeBack)
	case err != nil:
		return api.Busy(api.ReasonNoTarget, "the target could not be reached", comeBack)
	default:
		return refusedProblem(reply)
	}
}

func refusedProblem(reply *wire.ExecuteReply) *api.Problem {
	switch reply.Reason {
	case admission.ReasonDeadline.String():
		return api.Busy(api.ReasonDeadline, "it could not have been answered in time", reply.RetryAfter)
	case admission.ReasonAccountQueueFull.String():
		return api.Busy(api.ReasonAccountLimit, "the client account has too many requests queued", after(reply.RetryAfter))
	case admission.ReasonOverload.String():
		return api.Busy(api.ReasonQueueFull, "the target is overloaded", after(reply.RetryAfter))
	default:
		return api.Busy(api.ReasonRefused, reply.Reason+" "+reply.Detail, after(reply.RetryAfter))
	}
}

func after(d time.Duration) time.Duration {
	if d <= 0 {
		return comeBack
	}
	return d
}

func cause(reply *wire.ExecuteReply, err error) string {
	if err != nil {
		return err.Error()
	}
	return reply.Reason + " " + reply.Detail
}
