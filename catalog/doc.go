// Package catalog holds the operators' configuration: which queue a request belongs to,
// which client account an API key belongs to, what each account is guaranteed, and which
// availability zones are cordoned.
//
// A Catalog is immutable. Current holds the newest one together with the time up to which it
// is known to be the newest, so that a process that has lost contact with the store stops
// trusting revoked keys in time.
package catalog
