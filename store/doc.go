// Package store is the edge to the platform's key-value service: the Store
// interface that the rest of the system uses, and a client that speaks the
// published JSON form of the etcd v3 API over HTTP.
//
// What must outlive every process of the system is kept behind Store. Nothing
// else is durable: instances have no disks.
package store
