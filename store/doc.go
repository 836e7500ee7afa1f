// Package store defines Store, the interface to the platform's key-value service, and a
// client that speaks the JSON form of the etcd v3 API over HTTP.
//
// All state that must survive a restart of every process is kept in Store. Instances
// have no durable disks.
package store
