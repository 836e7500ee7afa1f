// Package api defines the HTTP API between callers and entries: paths, headers, JSON
// bodies, problem details (RFC 9457) and a client.
//
// Every quick request has exactly one [Outcome]. The outcome of a problem is determined by
// its [Reason], so that "not run" cannot be reported for a reason that allows the request
// to have run.
//
// Validation functions return a *Problem that is nil on success. Compare it with nil
// before assigning it to an error, since an error that holds a nil *Problem is not nil.
//
// Values of this package may be copied. [Client] is safe for concurrent use.
package api
