package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"goji.io/pat"
	"goji.io/pattern"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// serveQuickRequest serves one quick request.
func (e *Entry) serveQuickRequest(w http.ResponseWriter, r *http.Request) {
	startedAt := time.Now()
	q, problem := e.parseQuickRequest(w, r, startedAt)
	if problem != nil {
		problem.WriteResponse(w)
		return
	}
	w.Header().Set(api.HeaderRequestID, q.id)
	reply, problem := e.dispatcher(q.service).do(r.Context(), q)
	if problem != nil {
		problem.RequestID = q.id
		e.observeQuickRequest(q, problem.Outcome(), time.Since(startedAt))
		problem.WriteResponse(w)
		return
	}
	e.observeQuickRequest(q, api.OutcomeDone, time.Since(startedAt))
	writeReply(w, reply)
}

// parseQuickRequest reads a request and checks it against the active document.
func (e *Entry) parseQuickRequest(w http.ResponseWriter, r *http.Request, now time.Time) (*quickRequest, *api.Problem) {
	if p := e.checkConfirmed(); p != nil {
		return nil, p
	}
	service := pat.Param(r, "service")
	active, ok := e.documents.Current(service)
	if !ok {
		return nil, api.NewProblem(api.ReasonUnknownService, "no document in force names the service "+service)
	}
	params, problem := api.ParseCallOptions(r.Header)
	if problem != nil {
		return nil, problem
	}
	class, problem := checkClass(active.Document, params.Account, params.Class, document.Quick)
	if problem != nil {
		return nil, problem
	}
	body, problem := readBody(w, r)
	if problem != nil {
		return nil, problem
	}
	return &quickRequest{
		id:            uuid.NewString(),
		service:       service,
		account:       params.Account,
		class:         params.Class,
		key:           params.IdempotencyKey,
		firstDelivery: params.FirstDelivery,
		repeatable:    valueOr(params.Repeatable, class.Repeatable),
		retries:       class.Retries,
		deadline:      now.Add(effectiveDeadline(params.Deadline, class.Deadline.Duration)),
		method:        r.Method,
		path:          strings.TrimPrefix(pattern.Path(r.Context()), "/"),
		query:         r.URL.RawQuery,
		header:        forwardedHeaders(r.Header),
		body:          body,
	}, nil
}

// checkConfirmed returns a problem while the configuration is not confirmed, else nil. A
// draining entry passes: it still serves what the load balancer sends it.
func (e *Entry) checkConfirmed() *api.Problem {
	select {
	case <-e.watcher.Ready():
		return nil
	default:
		return api.NewRetryableProblem(api.ReasonNotReady, "the configuration is not confirmed yet", defaultRetryAfter)
	}
}

func checkClass(d *document.Document, account, class string, kind document.Kind) (*document.Class, *api.Problem) {
	if _, ok := d.Account(account); !ok {
		return nil, api.NewProblem(api.ReasonUnknownAccount, "the document does not declare the client account "+account)
	}
	c, ok := d.Class(class)
	if !ok {
		return nil, api.NewProblem(api.ReasonUnknownClass, "the document does not declare the class "+class)
	}
	if c.Kind != kind {
		return nil, api.NewProblem(api.ReasonUnknownClass, "the class "+class+" is of kind "+string(c.Kind)+", not "+string(kind))
	}
	return c, nil
}

func valueOr(requested *bool, fallback bool) bool {
	if requested != nil {
		return *requested
	}
	return fallback
}

// effectiveDeadline returns the requested deadline, limited by the class's deadline.
func effectiveDeadline(requested, class time.Duration) time.Duration {
	if requested <= 0 || requested > class {
		return class
	}
	return requested
}

// forwardedHeaders returns the caller's headers that are passed to the target: all but
// connection headers and those addressed to this system.
func forwardedHeaders(h http.Header) []wire.Header {
	var out []wire.Header
	for name, values := range h {
		if !isForwarded(name) {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Name: name, Value: v})
		}
	}
	return out
}

// omittedHeaders lists the headers that belong to one connection and are not forwarded.
var omittedHeaders = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Proxy-Connection":  true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
	"Content-Length":    true,
}

// systemHeaderPrefix starts the names of headers addressed to this system.
const systemHeaderPrefix = "Eelgrasshub-"

func isForwarded(name string) bool {
	return !omittedHeaders[name] && !strings.HasPrefix(name, systemHeaderPrefix)
}

// writeReply writes the target's whole answer to the caller.
func writeReply(w http.ResponseWriter, reply *wire.ExecuteReply) {
	h := w.Header()
	for _, header := range reply.Header {
		if isForwarded(header.Name) {
			h.Add(header.Name, header.Value)
		}
	}
	h.Set(api.HeaderOutcome, string(api.OutcomeDone))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body) // an error means that the caller is gone
}
