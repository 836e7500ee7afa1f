package entry

import (
	"bytes"
	"net/http"
	"time"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/ingress"
	"github.com/eelgrasshub/eelgrasshub/settings"
)

// Limits on a caller's request: the size and the time of its headers, the time of the whole request, and
// the idle time between two requests.
const (
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	requestTimeout = time.Minute
	idleTimeout    = 2 * time.Minute
)

// forwardedCopies is the memory of a body while it is decoded or sent on, in bodies: what it is decoded
// to, and the message that contains it.
const forwardedCopies = 4

// callerLimits returns the limits on an entry's callers.
func callerLimits(cfg *settings.Entry) ingress.Limits {
	limits := ingress.Limits{
		HeaderBytes:    maxHeaderBytes,
		HeaderTimeout:  headerTimeout,
		RequestTimeout: requestTimeout,
		IdleTimeout:    idleTimeout,
	}
	return limits.ForInstance(int64(cfg.MemoryMB)<<20, cfg.Descriptors)
}

// readBody reads the whole body before anything is sent, so that a truncated request
// never runs.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *api.Problem) {
	body, err := ingress.ReadBody(w, r, api.MaxBodyLen)
	if err == nil {
		err = ingress.Reserve(r, int64(len(body))*forwardedCopies)
	}
	switch err {
	case nil:
		return body, nil
	case ingress.ErrBodyTooLarge:
		return nil, api.NewProblem(api.ReasonTooLarge, "the body is larger than allowed")
	case ingress.ErrOverloaded:
		return nil, api.NewRetryableProblem(api.ReasonOverloaded, err.Error(), defaultRetryAfter)
	default:
		return nil, api.NewInvalidProblem("body", "it was cut short")
	}
}

// decodeBody reads the whole body and decodes it into v.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) *api.Problem {
	body, problem := readBody(w, r)
	if problem != nil {
		return problem
	}
	return api.Decode(bytes.NewReader(body), api.MaxBodyLen, v)
}
