// Package standin is an in-memory key-value service for tests. It speaks the same JSON
// form of the etcd v3 API as the platform's service and injects faults on command, in
// process or over HTTP:
//
//	GET  /standin/faults    returns the active faults
//	POST /standin/faults    replaces them (a JSON Faults)
//	GET  /standin/counters  returns the calls received, by kind (a JSON Counters)
//	POST /standin/snapshot  saves a copy of the state
//	POST /standin/restore   restores that copy, including its revisions
//	POST /standin/compact   drops the history before the latest revision
//
// All state is in memory; it is no replacement for a real store.
package standin
