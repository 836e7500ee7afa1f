package link

import "time"

// PeerQuery goes from one gateway to another, and from a node agent that looks for the
// planner.
type PeerQuery struct {
	// Address is the sender's, where it is a gateway.
	Address       string `cbor:"1,keyasint,omitempty"`
	ConfigVersion int64  `cbor:"2,keyasint,omitempty"`
	// Epoch and Planner are what the sender knows of the planner.
	Epoch   uint64 `cbor:"3,keyasint,omitempty"`
	Planner string `cbor:"4,keyasint,omitempty"`
	// WantConfig: the sender can't follow the configuration by itself.
	WantConfig bool `cbor:"5,keyasint,omitempty"`
	// PlanningCapacity is how much planning the sender could carry, see gateway.Config.
	PlanningCapacity float64 `cbor:"6,keyasint,omitempty"`
	// WantConfigText: the reply is to carry the text of the configuration, where the sender's is
	// older. Gateways ask for it alone and of one other at a time: it may be of hundreds of
	// kilobytes, and answers of them from all others at once keep a thin link from carrying
	// any.
	WantConfigText bool `cbor:"7,keyasint,omitempty"`
}

// PeerReply answers Peer.
type PeerReply struct {
	Epoch   uint64 `cbor:"1,keyasint,omitempty"`
	Planner string `cbor:"2,keyasint,omitempty"`
	// Members are some of the gateways that are live, others each time.
	Members []string `cbor:"3,keyasint,omitempty"`
	// ConfigVersion was the newest ConfigAge before the reply. Config is its text, where
	// that was wanted and is newer.
	ConfigVersion int64         `cbor:"4,keyasint,omitempty"`
	ConfigAge     time.Duration `cbor:"5,keyasint,omitempty"`
	Config        []byte        `cbor:"6,keyasint,omitempty"`
	// StoreReachable: the store has answered the sender a moment ago.
	StoreReachable bool `cbor:"7,keyasint,omitempty"`
	// Successors are the gateways that are to take the duty if the sender, which plans, dies;
	// the first of them at once, the others where it does not.
	Successors []string `cbor:"8,keyasint,omitempty"`
	// Cordons are those that the sender knows; nil where it knows none yet.
	Cordons *Cordons `cbor:"9,keyasint,omitempty"`
}

// Cordons are the cordoned availability zones as of a revision of the store. They were the
// newest Age before the message.
type Cordons struct {
	Zones    []string      `cbor:"1,keyasint,omitempty"`
	Revision int64         `cbor:"2,keyasint"`
	Age      time.Duration `cbor:"3,keyasint"`
}
