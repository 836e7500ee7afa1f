// Package api is the HTTP contract between callers and an entry: paths,
// headers, JSON bodies, problem details (RFC 9457) and a client for them.
//
// Every quick request ends in exactly one [Outcome]. The outcome of a problem
// follows from its [Reason] alone, so that "not run" can't be said for a reason
// that allows the request to have run.
//
// Checks return a *Problem that is nil when all is well. Compare it with nil
// before it becomes an error: an error that holds a nil *Problem isn't nil.
//
// Values of this package are plain data, safe to copy. [Client] is safe for
// concurrent use.
package api
