package link

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// StoreOp is an operation on the store that a gateway may perform on behalf of another.
type StoreOp int

// Operations, and the fields of StoreCall that they use.
const (
	StoreGet    StoreOp = iota + 1 // reads Key
	StoreList                      // lists the keys with the prefix Key
	StoreRenew                     // renews Lease
	StoreRevoke                    // revokes Lease
	StoreCommit                    // commits Swaps under Conditions
)

// String returns the operation's name in logs.
func (o StoreOp) String() string {
	names := map[StoreOp]string{StoreGet: "get", StoreList: "list", StoreRenew: "renew", StoreRevoke: "revoke", StoreCommit: "commit"}
	if name, ok := names[o]; ok {
		return name
	}
	return "unnamed"
}

// StoreCall asks a gateway to make a call to the store for the sender, which the store does not
// serve.
type StoreCall struct {
	Op         StoreOp           `cbor:"1,keyasint"`
	Key        string            `cbor:"2,keyasint,omitempty"`
	Lease      store.LeaseID     `cbor:"3,keyasint,omitempty"`
	Conditions []store.Condition `cbor:"4,keyasint,omitempty"`
	Swaps      []store.Swap      `cbor:"5,keyasint,omitempty"`
}

// StoreFailure is the reason why a StoreCall has no result.
type StoreFailure int

// Failures. They correspond to the errors of package store.
const (
	StoreOK StoreFailure = iota
	StoreUnavailable
	StoreOutcomeUnknown
	StoreLeaseNotFound
)

// StoreReply answers StoreCall with the result of the operation.
type StoreReply struct {
	Failure  StoreFailure        `cbor:"1,keyasint,omitempty"`
	Found    bool                `cbor:"2,keyasint,omitempty"`
	KeyValue store.KeyValue      `cbor:"3,keyasint,omitempty"`
	Snapshot store.Snapshot      `cbor:"4,keyasint,omitempty"`
	TTL      time.Duration       `cbor:"5,keyasint,omitempty"`
	Commit   store.CommitOutcome `cbor:"6,keyasint,omitempty"`
}
