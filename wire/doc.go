// Package wire exchanges typed messages between the processes of a cluster over QUIC.
//
// Each exchange uses one stream. The opener writes one frame (a header with length and
// kind, then a CBOR payload) and closes its direction; the other side answers with one
// frame. Either end of a connection may open exchanges, so an entry can call an agent
// over the connection that the agent has dialled.
//
// A receiver handles an exchange only after it has read the whole frame and the end of
// the opener's direction. The opener sends that end last, which separates ErrNotHandled
// from ErrOutcomeUnknown: see Conn.Call. Every implementation of the protocol must keep
// this rule.
//
// Both ends prove that they belong to the cluster with a certificate derived from the
// shared cluster key (Identity). Only messages of the peer's process prove that a
// connection works: a connection without them is probed with Ping, suspected, replaced
// (Pool) and closed, long before QUIC's own idle timeout.
//
// Messages evolve by adding fields: a receiver ignores unknown fields, and a missing
// field has its zero value.
package wire
