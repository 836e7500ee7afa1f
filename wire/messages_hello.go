package wire

// Version is the protocol version of this build, sent in Hello. It is raised when a
// receiver has to know which fields and kinds the peer supports.
const Version = 1

// Role is the role of a process in the cluster.
type Role string

// Roles of processes.
const (
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
)

// Peer describes a process. Incarnation grows with each start of a process with the
// same ID. Address is the address on which the process listens, if it does.
type Peer struct {
	ID          string `cbor:"1,keyasint,omitempty"`
	Role        Role   `cbor:"2,keyasint,omitempty"`
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	Region      string `cbor:"4,keyasint,omitempty"`
	Zone        string `cbor:"5,keyasint,omitempty"`
	Version     int    `cbor:"6,keyasint,omitempty"`
	Address     string `cbor:"7,keyasint,omitempty"`
}

// Hello is the first message on a connection, sent by the dialer.
type Hello struct {
	Peer Peer `cbor:"1,keyasint"`
}

// HelloReply answers Hello.
type HelloReply struct {
	Peer Peer `cbor:"1,keyasint"`
}

// Ping checks that the path and the peer's process work.
type Ping struct{}

// Pong answers Ping.
type Pong struct{}

// GoAway announces that the sender will close the connection. The receiver opens no
// further exchanges on it and answers when its outstanding calls have ended.
type GoAway struct{}

// GoAwayReply answers GoAway.
type GoAwayReply struct{}

func init() {
	Register(kindError, remoteError{})
	Register(KindHello, Hello{})
	Register(KindHelloReply, HelloReply{})
	Register(KindPing, Ping{})
	Register(KindPong, Pong{})
	Register(KindGoAway, GoAway{})
	Register(KindGoAwayReply, GoAwayReply{})
}
