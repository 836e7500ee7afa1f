// Package catalog is the operators' configuration in force: which queue a request
// belongs to, which client account a key stands for, what each is promised, and in which
// availability zones nothing new may be started.
//
// A Catalog is immutable. InForce holds the newest one together with the time up
// to which it is known to be the newest, so that a process that lost touch with the
// store stops trusting revoked keys in time.
package catalog
