package link

import "time"

// PeerQuery is sent by a gateway to another to exchange state, and by a node agent that is
// looking for the planner. Key 5 is reserved.
type PeerQuery struct {
	// Address is the sender's if it is a gateway, else empty.
	Address       string `cbor:"1,keyasint,omitempty"`
	ConfigVersion int64  `cbor:"2,keyasint,omitempty"`
	// Epoch and Planner are those of the newest planner that the sender knows of.
	Epoch   uint64 `cbor:"3,keyasint,omitempty"`
	Planner string `cbor:"4,keyasint,omitempty"`
	// PlanningCapacity is the sender's gateway.Config.PlanningCapacity.
	PlanningCapacity float64 `cbor:"6,keyasint,omitempty"`
	// WantConfigText requests the configuration document if it is newer than the sender's.
	// Gateways request it separately and from one peer at a time, since several
	// documents of hundreds of kilobytes at once could overload a slow link.
	WantConfigText bool `cbor:"7,keyasint,omitempty"`
	// StoreUnreachable reports that the store has not recently replied to the sender.
	StoreUnreachable bool `cbor:"8,keyasint,omitempty"`
	// EarlierGrants is set soon after a change of the planner.
	EarlierGrants *EarlierGrants `cbor:"9,keyasint,omitempty"`
}

// PeerReply answers PeerQuery.
type PeerReply struct {
	Epoch   uint64 `cbor:"1,keyasint,omitempty"`
	Planner string `cbor:"2,keyasint,omitempty"`
	// Members are some of the gateways that the sender has heard from, different ones in each reply.
	Members []string `cbor:"3,keyasint,omitempty"`
	// ConfigVersion was confirmed as the newest ConfigAge before the reply. Config is its
	// document if that was requested and is newer than the sender's.
	ConfigVersion int64         `cbor:"4,keyasint,omitempty"`
	ConfigAge     time.Duration `cbor:"5,keyasint,omitempty"`
	Config        []byte        `cbor:"6,keyasint,omitempty"`
	// StoreReachable reports whether the store has recently replied to the sender.
	StoreReachable bool `cbor:"7,keyasint,omitempty"`
	// Successors are the gateways that should replace the sender, in order of preference, if it is
	// the active planner and fails.
	Successors []string `cbor:"8,keyasint,omitempty"`
	// PlanningEpoch is the epoch under which the sender plans, zero if it is not the active planner.
	PlanningEpoch uint64 `cbor:"10,keyasint,omitempty"`
	// Cordons are the cordons known to the sender, nil if it has not read them.
	Cordons *Cordons `cbor:"9,keyasint,omitempty"`
	// EarlierGrants is set soon after a change of the planner.
	EarlierGrants *EarlierGrants `cbor:"11,keyasint,omitempty"`
	// ProcessAge is the time since the sender's process started.
	ProcessAge time.Duration `cbor:"12,keyasint,omitempty"`
}

// EarlierGrants tells by when, as far as the sender knows, the last worker lease has been granted under epochs
// before Epoch: Remaining after the message was sent at the latest.
type EarlierGrants struct {
	Epoch     uint64        `cbor:"1,keyasint"`
	Remaining time.Duration `cbor:"2,keyasint"`
}

// Cordons are the cordoned availability zones as of a revision of the store. They were confirmed
// as the newest Age before the message.
type Cordons struct {
	Zones    []string      `cbor:"1,keyasint,omitempty"`
	Revision int64         `cbor:"2,keyasint"`
	Age      time.Duration `cbor:"3,keyasint"`
}
