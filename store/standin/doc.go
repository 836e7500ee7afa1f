// Package standin is a small in-memory key-value service for tests. It speaks
// the same JSON form of the etcd v3 API as the platform's service, and can be
// made slow, unreachable or forgetful on command, in process or over HTTP:
//
//	GET  /standin/faults    the faults in force
//	POST /standin/faults    replaces them (a JSON Faults)
//	GET  /standin/counters  calls received, by kind (a JSON Counters)
//	POST /standin/snapshot  keeps a copy of the state
//	POST /standin/restore   goes back to that copy, revisions included
//	POST /standin/compact   forgets the history of all but the newest state
//
// It keeps everything in one process and is no replacement for a real store.
package standin
